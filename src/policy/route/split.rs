//! Distribution of a route's requests among services.

/// Distributes requests in proportion to weights, as evenly as possible.
///
/// Each choice adds every weight to the credit of its index, takes the index with
/// the most credit and subtracts the sum of weights from it, so that any run of
/// choices is within one request of the exact shares.
#[derive(Clone, Debug, Default)]
pub struct Split {
    credits: Vec<i64>,
}

impl Split {
    /// Creates a split that starts at `offset`; a random one keeps entries that
    /// start together from choosing alike.
    pub fn new(weights: &[u32], offset: f64) -> Self {
        let sum: i64 = weights.iter().copied().map(i64::from).sum();
        let credits = weights
            .iter()
            .enumerate()
            .map(|(index, weight)| {
                let phase = (offset + index as f64 / weights.len() as f64).fract();
                (phase * sum.min(i64::from(*weight)) as f64) as i64
            })
            .collect();
        Self { credits }
    }

    /// Returns the index that takes the next request, or `None` if all weights
    /// are 0.
    pub fn next(&mut self, weights: &[u32]) -> Option<usize> {
        self.credits.resize(weights.len(), 0);
        let sum: i64 = weights.iter().copied().map(i64::from).sum();
        for (credit, weight) in self.credits.iter_mut().zip(weights) {
            *credit += i64::from(*weight);
        }
        let best = weights
            .iter()
            .enumerate()
            .filter(|(_, weight)| **weight > 0)
            .max_by_key(|(index, _)| self.credits[*index])
            .map(|(index, _)| index)?;
        self.credits[best] -= sum;
        Some(best)
    }
}
