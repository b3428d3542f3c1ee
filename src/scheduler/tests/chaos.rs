//! Property tests of the invariants under random submissions, cancellations, lost workers, takeovers and outages.

use proptest::prelude::*;

use super::cluster::Cluster;
use super::*;

const WORKERS: u32 = 8;

/// Step of a test case.
#[derive(Clone, Debug)]
enum Step {
    Submit {
        organisation: u8,
        kind: u8,
        tasks: u32,
        accelerators: u32,
        once: bool,
        checkpoint: bool,
    },
    Cancel(Vec<u16>),
    Toggle(u32),
    TakeOver,
    Permit(bool),
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let submit = (0..3_u8, 0..4_u8, 1..5_u32, 0..4_u32, any::<bool>(), any::<bool>()).prop_map(
        |(organisation, kind, tasks, level, once, checkpoint)| Step::Submit {
            organisation,
            kind,
            tasks,
            accelerators: 1 << level,
            once,
            checkpoint,
        },
    );
    prop_oneof![
        10 => submit,
        2 => prop::collection::vec(0..40_u16, 1..5).prop_map(Step::Cancel),
        2 => (0..WORKERS).prop_map(Step::Toggle),
        1 => Just(Step::TakeOver),
        1 => any::<bool>().prop_map(Step::Permit),
        6 => (100..3_000_u64).prop_map(Step::Pass),
    ]
}

fn run(policy: Policy, seed: u64, steps: &[Step]) -> Cluster {
    let guarantees = vec![
        guarantee("o0", 16, Adjacency::Rack, 1),
        guarantee("o1", 8, Adjacency::Worker, 2),
        guarantee("o1", 2, Adjacency::Worker, 1),
    ];
    let mut cluster = Cluster::new(policy, WORKERS, guarantees, seed);
    let mut submitted = 0;
    for step in steps {
        match step.clone() {
            Step::Submit { organisation, kind, tasks, accelerators, once, checkpoint } => {
                let kind = ["check", "run", "lent", "batch"][kind as usize];
                let organisation = format!("o{organisation}");
                let mut spec =
                    job(&format!("j{submitted}"), &organisation, kind, tasks, accelerators);
                spec.repeat = if once { Repeat::Never } else { Repeat::Allowed };
                spec.can_checkpoint = checkpoint;
                submitted += 1;
                cluster.submit(spec);
            }
            Step::Cancel(numbers) => {
                let ids = numbers.iter().map(|number| JobId::from(format!("j{number}")));
                cluster.cancel(ids.collect());
            }
            Step::Toggle(number) => cluster.toggle(number),
            Step::TakeOver => cluster.take_over(),
            Step::Permit(permitted) => cluster.permit(permitted),
            Step::Pass(time_ms) => cluster.pass(time_ms),
        }
    }
    cluster
}

proptest! {
    #![proptest_config(ProptestConfig::default())]

    /// Guards against partial gangs, cells held twice, concurrent attempts, wrong outcomes, unavailable guarantees and
    /// jobs that never end. The invariants are checked after every input, and all jobs must end once the faults stop.
    #[test]
    fn invariants_hold_and_every_job_ends(
        seed in any::<u64>(),
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut cluster = run(Policy::Product, seed, &steps);

        cluster.faulty = false;
        cluster.bring_all_up();
        cluster.permit(true);
        cluster.pass(400_000);

        prop_assert_eq!(cluster.unended(), Vec::new());
    }

    /// Guards against baseline policies that violate the invariants of gangs, which would make comparisons invalid.
    #[test]
    fn baselines_keep_gangs_complete_and_every_job_ends(
        seed in any::<u64>(),
        random in any::<bool>(),
        steps in prop::collection::vec(step(), 1..40),
    ) {
        let policy = if random { Policy::RandomFit } else { Policy::FirstComeFirstFit };

        let mut cluster = run(policy, seed, &steps);
        cluster.faulty = false;
        cluster.bring_all_up();
        cluster.permit(true);
        cluster.pass(400_000);

        prop_assert_eq!(cluster.unended(), Vec::new());
    }
}
