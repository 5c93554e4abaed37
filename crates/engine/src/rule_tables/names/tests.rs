//! Tests of the remembered names.

use super::*;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: prop::test_runner::RngSeed::Fixed(34), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// The names counted beforehand are those that are dropped, also where some in between have expired. With
    /// few looks the count is a prefix of them.
    #[test]
    fn the_excess_is_what_trim_drops(
        untils in prop::collection::vec(0i64..100, 0..30), max_names in 0u64..20, capacity in 0usize..20, looks in 0usize..40,
    ) {
        let mut names = RememberedNames::new(capacity);
        names.limit(1, 2, Some(99));
        for (id, until) in untils.iter().enumerate() {
            names.add(1, 2, Name { high: id as u64, low: 0 }, id as u64, *until);
        }
        let mut left = looks;
        let (weighed, more) = names.excess(50, (1, 2), max_names, &mut left);
        names.limit(1, 2, Some(max_names));
        let gone: Vec<u64> = names.trim(50, 1, 2).into_iter().map(|(_, id)| id).collect();
        prop_assert!(if more { gone.starts_with(&weighed) } else { gone == weighed }, "{:?} {:?}", gone, weighed);
        prop_assert!(!more || left == 0);
        prop_assert!(names.excess(50, (1, 3), 0, &mut left).0.is_empty());
    }
}
