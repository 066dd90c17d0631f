//! Seeded scenarios with results, bounds and reports.
