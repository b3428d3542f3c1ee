//! The process beside each worker and endpoint.

fn main() -> std::process::ExitCode {
    teaselhall::process::run("teaselhall-agent", teaselhall::agent::run)
}
