//! The health that is reported to the member.

use super::*;

#[test]
fn health_has_the_refusals_failures_and_memory_of_the_process() {
    let mut stats =
        Stats { accepted: 9, refused_rate: 1, refused_room: 2, refused_other: 4, ..Stats::default() };
    stats.answers = [100, 1, 2, 4, 8, 16];
    let process_status = "Name:\theronroute\nVmPeak:\t  99 kB\nVmRSS:\t   3072 kB\nThreads:\t4\n";
    let wanted = Health { refused: 7, failed: 15, memory: 3 << 20 };
    assert_eq!(health(&stats, process_status), wanted);
    assert_eq!(health(&stats, "VmRSS:\t 12 pages").memory, 0);
    // The counts of two senders are added; there is no second sample within a second.
    let senders: Vec<_> = (0..2).map(|_| Arc::new(Mutex::new(stats.clone()))).collect();
    let mut health_sampler = HealthSampler::new(senders);
    let sample = health_sampler.sample(5).unwrap();
    assert_eq!((sample.refused, sample.failed), (14, 30));
    #[cfg(target_os = "linux")]
    assert!(sample.memory > 1 << 20, "{sample:?}");
    assert_eq!(health_sampler.sample(1_000_004), None);
    assert!(health_sampler.sample(1_000_005).is_some());
}
