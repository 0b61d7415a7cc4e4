//! Max-min fairness of the capacity that organisations get.

/// Splits `total` by max-min fairness: no share exceeds its demand, and a share is smaller than
/// another only if its demand is met.
pub fn fair_shares(total: f64, demands: &[f64]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|a, b| demands[*a].total_cmp(&demands[*b]));
    let mut shares = vec![0.0; demands.len()];
    let mut remaining = total.max(0.0);
    for (served, index) in order.into_iter().enumerate() {
        let even = remaining / (demands.len() - served) as f64;
        shares[index] = demands[index].min(even);
        remaining -= shares[index];
    }
    shares
}

/// Smallest ratio of an amount received to its fair share of the total received; 1 without demand.
pub fn min_fair_ratio(received: &[f64], demands: &[f64]) -> f64 {
    let shares = fair_shares(received.iter().sum(), demands);
    let ratios = received.iter().zip(shares).filter(|(_, fair)| *fair > 0.0);
    ratios
        .map(|(received, fair)| received / fair)
        .fold(1.0, f64::min)
}
