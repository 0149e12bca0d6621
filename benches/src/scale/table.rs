//! Prints the table of medians, bounds and ratios.

use super::bounds::{RESOURCES, Resource};
use super::load::{CLIENTS, Outcomes};
use super::resources::Resources;
use super::{SIZES, ScaleSettings};

/// Prints the median of each resource at each size, and the counts that explain the medians.
pub(super) fn print(runs_by_size: &[Vec<Resources>; SIZES.len()], settings: ScaleSettings) {
    println!(
        "{} requests a second on {CLIENTS} connections for {} s; medians of {} rounds\n",
        settings.requests_per_second, settings.seconds, settings.rounds
    );
    println!("| what | databases | median | bound | ratio | within |\n| --- | --- | --- | --- | --- | --- |");
    for resource in RESOURCES {
        let smallest_size_value = median(&runs_by_size[0], resource);
        for (size, runs) in SIZES.iter().zip(runs_by_size) {
            print_row(resource, *size, median(runs, resource), smallest_size_value);
        }
    }
    print_counts(runs_by_size, settings);
}

fn print_row(resource: Resource, size: u32, value: f64, smallest_size_value: f64) {
    let bound = resource.bound(smallest_size_value, size);
    let verdict = if resource.violates(value, bound) { "**no**" } else { "yes" };
    let decimals = resource.decimals();
    println!(
        "| {} | {size} | {value:.decimals$} | {bound:.decimals$} | {:.2} | {verdict} |",
        resource.label(),
        value / smallest_size_value
    );
}

/// Prints, summed over the rounds of each size, the outcomes of requests and the number of statements that reached databases.
fn print_counts(runs_by_size: &[Vec<Resources>; SIZES.len()], settings: ScaleSettings) {
    println!(
        "\n| databases | groups | groups asked, a run | served | failed | unanswered | statements at databases |\n| --- | --- | --- | --- | --- | --- | --- |"
    );
    for (size, runs) in SIZES.iter().zip(runs_by_size) {
        let groups_asked = runs.iter().map(|run| run.outcomes.groups.len()).sum::<usize>() / runs.len();
        let outcomes =
            runs.iter().map(|run| run.outcomes.clone()).fold(Outcomes::default(), Outcomes::merged_with);
        let statements: u64 = runs.iter().map(|run| run.statements).sum();
        let Outcomes { served, failed, unanswered, .. } = outcomes;
        println!(
            "| {size} | {} | {groups_asked} | {served} | {failed} | {unanswered} | {statements} |",
            settings.group_count(*size)
        );
    }
}

/// Returns the median of a resource, or the upper median of an even number of runs.
fn median(runs: &[Resources], resource: Resource) -> f64 {
    let mut values: Vec<f64> = runs.iter().map(|run| run.get(resource)).collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}
