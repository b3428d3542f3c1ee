//! Guards against jobs that are lost, duplicated or started after their cancellation.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use super::{Error, cancel, keyed_job_id, read, submit};
use crate::job::{group_job_prefix, job_key};
use crate::prelude::*;
use crate::store::{Commit, Condition, MemoryStore, OperationId, Write, Writer};

fn job(id: JobId) -> JobSpec {
    JobSpec {
        id,
        organisation: OrganisationId::from("o"),
        kind: KindId::from("k"),
        tasks: 2,
        task: TaskSpec { cores: 1, memory_mb: 1, accelerators: 8 },
        adjacency: Adjacency::Rack,
        declared_run_ms: 1,
        repeat: Repeat::Never,
        can_checkpoint: false,
    }
}

fn fixture() -> (Writer<MemoryStore>, ChaCha8Rng, GroupId) {
    (Writer::new(MemoryStore::default()), ChaCha8Rng::seed_from_u64(1), GroupId::from("a.0"))
}

#[tokio::test]
async fn same_key_at_two_entries_creates_one_job() {
    let (writer, mut random, group) = fixture();
    let id = keyed_job_id(&OrganisationId::from("o"), "key");

    let first = submit(&writer, &job(id.clone()), &group, &mut random).await;
    let second = submit(&writer, &job(id.clone()), &GroupId::from("b.0"), &mut random).await;

    assert_eq!(first, second);
    assert_eq!(writer.table().scan_rows("job/").len(), 1);
    assert_eq!(writer.table().scan_rows("group-job/").len(), 1);
}

#[tokio::test]
async fn same_key_with_other_content_is_refused() {
    let (writer, mut random, group) = fixture();
    let id = keyed_job_id(&OrganisationId::from("o"), "key");
    submit(&writer, &job(id.clone()), &group, &mut random).await.expect("the job is new");

    let other = JobSpec { tasks: 3, ..job(id.clone()) };

    assert_eq!(
        submit(&writer, &other, &group, &mut random).await,
        Err(Error::Mismatch { job: id })
    );
}

#[test]
fn ids_differ_if_organisation_and_key_concatenate_to_the_same_text() {
    let id_of =
        |organisation: &str, key: &str| keyed_job_id(&OrganisationId::from(organisation), key);

    assert_ne!(id_of("a", "bc"), id_of("ab", "c"));
}

#[tokio::test]
async fn start_decided_before_a_cancellation_cannot_become_durable() {
    let (writer, mut random, group) = fixture();
    let id = JobId::from("j");
    submit(&writer, &job(id.clone()), &group, &mut random).await.expect("the job is new");
    let (row, version) = read(writer.table(), &id).await.expect("the row exists");

    let cancelled = cancel(&writer, &id, &mut random).await.expect("the table works");
    let intent = Commit {
        operation: OperationId::random(&mut random),
        conditions: vec![Condition { key: job_key(&id), version }],
        writes: vec![Write {
            key: job_key(&id),
            value: serde_json::to_value(&row).expect("row is JSON"),
        }],
    };

    assert!(cancelled.cancel_requested);
    assert!(writer.table().apply(&intent).is_err());
    assert!(
        writer.table().scan_rows(&group_job_prefix(&group))[0].value["cancel_requested"]
            .as_bool()
            .unwrap()
    );
}
