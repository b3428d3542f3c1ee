//! Check that tasks fit on a worker. The agent checks it because workers start every task without a check.

use std::collections::BTreeSet;

use super::gang::Gang;
use crate::job::MAX_GANG_TASKS;
use crate::prelude::*;
use crate::scheduler::{ShareRequest, WorkerSpec};

/// Checks that the tasks of a share fit on the worker beside all gangs that hold cells there.
///
/// # Errors
///
/// A message that states what does not fit.
pub(super) fn check<'a, G>(
    worker: &WorkerSpec,
    job: &JobSpec,
    share: &ShareRequest,
    gangs: G,
) -> Result<(), String>
where
    G: Iterator<Item = &'a Gang>,
{
    check_share(worker, job, share)?;
    let mut cores = u64::from(job.task.cores) * share.tasks.len() as u64;
    let mut memory_mb = job.task.memory_mb.saturating_mul(share.tasks.len() as u64);
    let mut used_mask = check_masks(worker, job, share)?;
    for gang in gangs {
        cores += u64::from(gang.job.task.cores) * gang.tasks.len() as u64;
        memory_mb = memory_mb.saturating_add(gang.job.task.memory_mb * gang.tasks.len() as u64);
        for cell in &gang.tasks {
            if used_mask & cell.accelerator_mask != 0 {
                return Err(format!("gang {} already holds some of the accelerators", gang.id));
            }
            used_mask |= cell.accelerator_mask;
        }
    }
    if cores > u64::from(worker.shape.cores) {
        return Err(format!(
            "all gangs on the worker would need {cores} cores, but it has {}",
            worker.shape.cores
        ));
    }
    if memory_mb > worker.shape.memory_mb {
        return Err(format!(
            "all gangs on the worker would need {memory_mb} MiB of memory, but it has {}",
            worker.shape.memory_mb
        ));
    }
    Ok(())
}

fn check_share(worker: &WorkerSpec, job: &JobSpec, share: &ShareRequest) -> Result<(), String> {
    if share.worker != worker.id {
        return Err(format!("the share is for worker {}, not for {}", share.worker, worker.id));
    }
    if job.tasks > MAX_GANG_TASKS || share.tasks.is_empty() {
        return Err(format!(
            "the share has {} of the gang's {} tasks; a share needs at least 1 task, and a gang has at most \
             {MAX_GANG_TASKS}",
            share.tasks.len(),
            job.tasks
        ));
    }
    let mut indexes = BTreeSet::new();
    for cell in &share.tasks {
        if cell.task >= job.tasks || !indexes.insert(cell.task) {
            return Err(format!(
                "task {} is listed twice or is outside the gang of {} tasks",
                cell.task, job.tasks
            ));
        }
    }
    Ok(())
}

/// Returns the mask of all accelerators of the share. The accelerators of each task must exist on the worker, match the
/// job's count and not overlap those of another task.
fn check_masks(worker: &WorkerSpec, job: &JobSpec, share: &ShareRequest) -> Result<u64, String> {
    let present_mask = match worker.shape.accelerators {
        count if count >= u64::BITS => u64::MAX,
        count => (1 << count) - 1,
    };
    let mut share_mask = 0;
    for cell in &share.tasks {
        let mask = cell.accelerator_mask;
        if mask & !present_mask != 0 {
            return Err(format!(
                "mask {mask:#x} contains accelerators that the worker does not have"
            ));
        }
        if mask.count_ones() != job.task.accelerators {
            return Err(format!(
                "mask {mask:#x} does not contain exactly {} accelerators",
                job.task.accelerators
            ));
        }
        if mask & share_mask != 0 {
            return Err(format!("mask {mask:#x} overlaps the mask of another task of the share"));
        }
        share_mask |= mask;
    }
    Ok(share_mask)
}
