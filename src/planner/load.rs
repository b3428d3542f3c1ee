//! Summary of the load, by which coordinators accept or reject jobs.

use std::collections::BTreeMap;

use super::Planner;
use super::message::PlannerTime;
use super::overload::Outlook;
use super::state::{Job, Task};
use crate::admission::{LoadSummary, ServiceLoad, WorkerGroup};
use crate::prelude::*;

/// Time after a takeover from which on all existing workers count as known: hosts reconnect within 3 s.
const ALL_WORKERS_KNOWN_MS: u64 = 10_000;

impl Planner {
    /// Summarises the load.
    pub fn load(&self, now: PlannerTime) -> LoadSummary {
        let mut services = self.service_groups();
        let mut urgent: BTreeMap<&OrganisationId, u32> = BTreeMap::new();
        for job in self.jobs.values().filter(|job| job.may_start()) {
            if job.record.priority == 0 {
                let entry = urgent.entry(&job.record.organisation).or_default();
                *entry = entry.saturating_add(job.record.first_step_accelerators());
            }
            if let Some(load) = services.get_mut(&job.record.service) {
                let work_ms = self.remaining_work_ms(now, job, load);
                let priority = job.record.priority;
                match load.backlog_ms.iter_mut().find(|(listed, _)| *listed == priority) {
                    Some((_, backlog_ms)) => *backlog_ms = backlog_ms.saturating_add(work_ms),
                    None => load.backlog_ms.push((priority, work_ms)),
                }
            }
        }
        LoadSummary {
            services: services.into_values().collect(),
            urgent_accelerators: urgent
                .into_iter()
                .map(|(organisation, accelerators)| (organisation.clone(), accelerators))
                .collect(),
            has_all_workers: now.steady_ms >= self.settled_ms + ALL_WORKERS_KNOWN_MS,
        }
    }

    /// Returns the services with their workers, also those that are draining or out of service, and no backlog.
    fn service_groups(&self) -> BTreeMap<String, ServiceLoad> {
        let mut services: BTreeMap<String, ServiceLoad> = BTreeMap::new();
        for report in self.workers.values().filter_map(|worker| worker.report.as_ref()) {
            let load = services.entry(report.service.clone()).or_insert_with(|| ServiceLoad {
                service: report.service.clone(),
                groups: Vec::new(),
                backlog_ms: Vec::new(),
            });
            let is_equal = |group: &&mut WorkerGroup| {
                group.room == report.room && group.labels == report.labels
            };
            match load.groups.iter_mut().find(is_equal) {
                Some(group) => group.workers += 1,
                None => load.groups.push(WorkerGroup {
                    labels: report.labels.clone(),
                    room: report.room,
                    workers: 1,
                }),
            }
        }
        services
    }

    /// Returns the time in which all workers together finish the rest of a job; 0 for work without end and for
    /// occurrences whose results are of no more use, which wait until there is room.
    fn remaining_work_ms(&self, now: PlannerTime, job: &Job, load: &ServiceLoad) -> u64 {
        let spec = &job.record.spec;
        if spec.is_long_running() {
            return 0;
        }
        let mut work_ms: u64 = 0;
        for (number, occurrence) in &job.occurrences {
            if occurrence.done || self.outlook(now, job, *number) == Outlook::Overdue {
                continue;
            }
            for (number, step) in spec.steps.iter().enumerate() {
                let tasks = occurrence.tasks.get(job.range(number)).unwrap_or_default();
                let left_percent: u64 = tasks.iter().map(left_percent).sum();
                let step_ms = load.work_ms(step, left_percent, step.estimate_ms) / 100;
                work_ms = work_ms.saturating_add(step_ms);
            }
        }
        work_ms
    }
}

fn left_percent(task: &Task) -> u64 {
    match &task.placement {
        _ if task.is_done() => 0,
        Some(placement) => 100 - u64::from(placement.percent.min(100)),
        None => 100,
    }
}
