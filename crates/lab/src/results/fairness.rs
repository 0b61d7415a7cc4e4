//! Fair shares: what each organisation would get if capacity were split evenly up to demand.

/// Splits `total` by max-min fairness: nobody gets more than its demand, and nobody gets less than
/// another unless its demand is met.
pub fn fair_shares(total: f64, demands: &[f64]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|a, b| demands[*a].total_cmp(&demands[*b]));
    let mut shares = vec![0.0; demands.len()];
    let mut left = total.max(0.0);
    for (done, index) in order.into_iter().enumerate() {
        let even = left / (demands.len() - done) as f64;
        shares[index] = demands[index].min(even);
        left -= shares[index];
    }
    shares
}

/// Smallest ratio of what one got to its fair share of all that was got; 1 when nobody asked.
pub fn min_fair_ratio(got: &[f64], demands: &[f64]) -> f64 {
    let shares = fair_shares(got.iter().sum(), demands);
    let ratios = got.iter().zip(shares).filter(|(_, fair)| *fair > 0.0);
    ratios.map(|(got, fair)| got / fair).fold(1.0, f64::min)
}
