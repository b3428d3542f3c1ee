//! The command line for operators and callers.

fn main() -> std::process::ExitCode {
    teaselhall::command::main()
}
