//! What the member is told of the process.

use super::*;

#[test]
fn refusals_failures_and_memory_are_the_processs_own() {
    let mut stats =
        Stats { accepted: 9, refused_rate: 1, refused_room: 2, refused_other: 4, ..Stats::default() };
    stats.answers = [100, 1, 2, 4, 8, 16];
    let status = "Name:\theronroute\nVmPeak:\t  99 kB\nVmRSS:\t   3072 kB\nThreads:\t4\n";
    let wanted = Health { refused: 7, failed: 15, memory: 3 << 20 };
    assert_eq!(health(&stats, status), wanted);
    assert_eq!(health(&stats, "VmRSS:\t 12 pages").memory, 0);
    // Two senders are one process; twice within a second it is not looked at.
    let senders: Vec<_> = (0..2).map(|_| Arc::new(Mutex::new(stats.clone()))).collect();
    let mut pulse = Pulse::new(senders);
    let felt = pulse.feel(5).unwrap();
    assert_eq!((felt.refused, felt.failed), (14, 30));
    #[cfg(target_os = "linux")]
    assert!(felt.memory > 1 << 20, "{felt:?}");
    assert_eq!(pulse.feel(1_000_004), None);
    assert!(pulse.feel(1_000_005).is_some());
}
