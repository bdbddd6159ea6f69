//! Divides what can be admitted among classes.

use std::collections::BTreeSet;

use super::{Demand, Fraction, Rate};

/// Part of the capacity that is divided by demand alone, so that no class starves: the less urgent ones get at least
/// this part of what they would without priorities.
const COMMON_PART: f64 = 0.05;

/// Divides a rate among classes: a small part by demand, the rest by priority, and within a priority so that no
/// organisation gets less than another one that is granted more than it.
pub fn share(rate: Rate, demands: &[Demand]) -> Vec<Fraction> {
    let total: Rate = demands.iter().map(|demand| demand.rate).sum();
    let common = (COMMON_PART * rate / total.max(f64::MIN_POSITIVE)).min(1.0);
    let mut left = (rate - common * total).max(0.0);
    let priorities: BTreeSet<u8> = demands.iter().map(|demand| demand.class.priority).collect();
    let mut fractions = Vec::new();
    for priority in priorities {
        let alike = demands.iter().filter(|it| it.class.priority == priority);
        let wanted: Vec<Demand> = alike
            .map(|demand| Demand {
                rate: demand.rate * (1.0 - common),
                ..*demand
            })
            .collect();
        let level = fair_level(left, &wanted);
        for demand in wanted {
            let granted = demand.rate.min(level);
            left -= granted;
            let part = granted / demand.rate.max(f64::MIN_POSITIVE);
            fractions.push(Fraction {
                class: demand.class,
                fraction: (common + (1.0 - common) * part).clamp(0.0, 1.0),
            });
        }
    }
    fractions
}

/// The rate that no organisation exceeds so that all together get this much; infinite if it is enough for all.
fn fair_level(rate: Rate, demands: &[Demand]) -> Rate {
    let mut rates: Vec<Rate> = demands.iter().map(|demand| demand.rate).collect();
    rates.sort_by(f64::total_cmp);
    let mut left = rate.max(0.0);
    for (index, wanted) in rates.iter().enumerate() {
        let level = left / (rates.len() - index) as f64;
        if level < *wanted {
            return level;
        }
        left -= wanted;
    }
    f64::INFINITY
}
