//! The cases of the second review, by name. `run.sh` of each case starts this program.

mod answers;
mod common;
mod pressure;
mod replacement;
mod roles;
mod values;

fn main() {
    common::watch(std::time::Duration::from_secs(110));
    let case = std::env::args().nth(1).unwrap_or_default();
    let code = match case.as_str() {
        "second-copy" => answers::second_copy(),
        "pressure" => pressure::run(),
        "late-role" => roles::late_role(),
        "endless-answer" => values::endless_answer(),
        "cut-before-end" => values::cut_before_end(),
        "repeated-id" => replacement::repeated_id(),
        "behind-value" => values::behind_value(),
        "reset-at-restart" => values::reset_at_restart(),
        "ends-while-given" => values::ends_while_given(),
        "hangs-in-value" => values::hangs_in_value(),
        _ => common::stop(&format!("unknown case '{case}'")),
    };
    common::end(code);
}
