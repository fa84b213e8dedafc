//! Order in which the items of a job are sent.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;

use crate::domain::batch::Item;
use crate::domain::name::GroupName;

/// Returns the dispatch order of items. Long items of all groups come first because groups complete
/// with them. Items of one group are adjacent, so they share a target and its failure delays only
/// one group.
pub(super) fn dispatch_order(items: &[Arc<Item>]) -> Vec<usize> {
    let mean = mean_size(items);
    let mut longest: HashMap<Option<&GroupName>, u64> = HashMap::new();
    for item in items {
        let max_size = longest.entry(item.group.as_ref()).or_default();
        *max_size = (*max_size).max(item.expected_tokens);
    }
    let mut order: Vec<usize> = (0..items.len()).collect();
    order.sort_by_key(|index| {
        let item = &items[*index];
        let group = item.group.as_ref();
        let max_size = longest.get(&group).copied().unwrap_or(0);
        (
            item.expected_tokens < mean,
            Reverse(max_size),
            group,
            Reverse(item.expected_tokens),
        )
    });
    order
}

fn mean_size(items: &[Arc<Item>]) -> u64 {
    let count = u64::try_from(items.len().max(1)).unwrap_or(u64::MAX);
    items.iter().map(|item| item.expected_tokens).sum::<u64>() / count
}
