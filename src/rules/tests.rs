//! Tests of the active rules.

use super::*;

fn queue(name: &str, path_start: &str) -> Queue {
    Queue {
        name: name.to_owned(),
        host: "jobs.example".to_owned(),
        path_start: path_start.to_owned(),
        service: "s".to_owned(),
        priority: 0,
        attempts: 1,
        stretch: 1.0,
        objective_ms: 0,
        public: false,
    }
}

fn rules() -> Rules {
    let organisation = Organisation {
        name: OrganisationId::from("org"),
        keys: vec!["key".to_owned()],
        guaranteed_accelerators: 8,
    };
    Rules {
        version: 1,
        queues: vec![
            queue("short", "/a/"),
            queue("long", "/a/b/"),
            Queue { public: true, ..queue("public", "/p/") },
        ],
        organisations: vec![organisation],
        ..Rules::default()
    }
}

/// Guards against requests that reach a queue with a shorter path prefix than that of the best match.
#[test]
fn queue_with_the_longest_matching_path_is_selected() {
    let rules = rules();

    let (queue, rest) = rules.queue_for("JOBS.example", "/a/b/17").expect("a queue matches");

    assert_eq!((queue.name.as_str(), rest), ("long", "17"));
    assert!(rules.queue_for("other.example", "/a/b/17").is_none());
}

/// Guards against requests with unknown keys that are admitted, and against public queues that require a key.
#[test]
fn known_key_is_admitted_to_all_queues_and_public_queue_needs_no_key() {
    let rules = rules();

    assert_eq!(rules.admit("jobs.example", "/a/1", None).err(), Some(AdmissionError::UnknownKey));
    assert_eq!(
        rules.admit("jobs.example", "/a/1", Some("x")).err(),
        Some(AdmissionError::UnknownKey)
    );
    assert_eq!(
        rules.admit("jobs.example", "/x/1", Some("key")).err(),
        Some(AdmissionError::NoQueue)
    );
    let (.., caller) = rules.admit("jobs.example", "/a/1", Some("key")).expect("the key is known");
    assert_eq!(caller, Caller::Organisation(&OrganisationId::from("org")));
    let (.., caller) = rules.admit("jobs.example", "/p/1", None).expect("the queue is public");
    assert_eq!(caller, Caller::Anonymous);
}

/// Guards against a data centre that stays out of service because the directives that bring it back also contain an
/// older version of the rules.
#[test]
fn newer_directives_with_older_rules_keep_the_newer_rules() {
    let directives = |as_of, version, out_of_service: &[&str]| Directives {
        as_of,
        rules: Some(Arc::new(Rules { version, ..Rules::default() })),
        out_of_service: out_of_service.iter().map(|name| DataCentreId::from(*name)).collect(),
    };
    let previous = directives(10, 7, &["north"]);

    let merged = directives(11, 6, &[]).with_newest_rules(&previous);

    assert_eq!(merged, directives(11, 7, &[]));
}

/// Guards against an objective that ignores how long the work of a job takes.
#[test]
fn objective_grows_with_the_work() {
    let objective = Objective { stretch: 1.5, constant_ms: 300 };

    assert_eq!(objective.of_chain_ms(2_000), 3_300);
    assert_eq!(objective.late_limit_ms(2_000), 9_900);
}
