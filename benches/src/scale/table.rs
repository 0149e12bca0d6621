//! The table of medians, bounds and ratios.

use super::bounds::{RESOURCES, Resource};
use super::load::{CLIENTS, Outcomes};
use super::resources::Resources;
use super::{SIZES, ScaleSettings};

/// Prints each figure at each size, and the counts that explain them.
pub(super) fn print(runs_by_size: &[Vec<Resources>; SIZES.len()], settings: ScaleSettings) {
    println!(
        "{} requests a second on {CLIENTS} connections for {} s; medians of {} rounds\n",
        settings.requests_per_second, settings.seconds, settings.rounds
    );
    println!("| what | databases | median | bound | ratio | within |\n| --- | --- | --- | --- | --- | --- |");
    for resource in RESOURCES {
        let at_smallest = median(&runs_by_size[0], resource);
        for (size, runs) in SIZES.iter().zip(runs_by_size) {
            print_row(resource, *size, median(runs, resource), at_smallest);
        }
    }
    print_counts(runs_by_size, settings);
}

fn print_row(resource: Resource, size: u32, figure: f64, at_smallest: f64) {
    let bound = resource.bound(at_smallest, size);
    let verdict = if resource.breaks(figure, bound) { "**no**" } else { "yes" };
    let decimals = resource.decimals();
    println!(
        "| {} | {size} | {figure:.decimals$} | {bound:.decimals$} | {:.2} | {verdict} |",
        resource.label(),
        figure / at_smallest
    );
}

/// Prints, over all rounds of each size, how requests ended and how many statements reached databases.
fn print_counts(runs_by_size: &[Vec<Resources>; SIZES.len()], settings: ScaleSettings) {
    println!(
        "\n| databases | groups | groups asked, a run | served | failed | unanswered | statements at databases |\n| --- | --- | --- | --- | --- | --- | --- |"
    );
    for (size, runs) in SIZES.iter().zip(runs_by_size) {
        let groups_asked = runs.iter().map(|run| run.outcomes.groups.len()).sum::<usize>() / runs.len();
        let outcomes = runs.iter().map(|run| run.outcomes.clone()).fold(Outcomes::default(), Outcomes::plus);
        let statements: u64 = runs.iter().map(|run| run.statements).sum();
        let Outcomes { served, failed, unanswered, .. } = outcomes;
        println!(
            "| {size} | {} | {groups_asked} | {served} | {failed} | {unanswered} | {statements} |",
            settings.group_count(*size)
        );
    }
}

/// The median of a figure; the upper one of an even number.
fn median(runs: &[Resources], resource: Resource) -> f64 {
    let mut figures: Vec<f64> = runs.iter().map(|run| run.get(resource)).collect();
    figures.sort_by(f64::total_cmp);
    figures.get(figures.len() / 2).copied().unwrap_or(f64::NAN)
}
