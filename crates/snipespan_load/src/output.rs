//! Formats measures as text, JSON and CSV.
//!
//! In the output, `whole` is the number of complete answers, `crest` the load peak, and `others`
//! the other outcomes. The quantiles in the text are in milliseconds: `p50`, `p95` and `p99` are of
//! the time to first token, and `end p95` is of the time to the end of the answer. All quantiles
//! are of complete answers only.

use std::fmt::Write;

use serde_json::Value;
use serde_json::json;
use snipespan_core::cost::LengthClass;

use crate::measures::ClassMeasures;
use crate::measures::Measures;

/// Names and values of the reported quantiles.
const QUANTILES: [(&str, f64); 3] = [("p50", 0.50), ("p95", 0.95), ("p99", 0.99)];

/// Returns the displayed name of a class of prompt lengths.
pub fn class_name(class: LengthClass) -> String {
    class.upper_tokens().map_or_else(|| "longer".to_owned(), |tokens| format!("up to {tokens}"))
}

/// Formats the named measures of several runs as a table for people.
pub fn text(runs: &[(String, Measures)]) -> String {
    let mut text = format!(
        "{:<24} {:>14} {:>8} {:>8} {:>10} {:>10} {:>10} {:>10}  {}\n",
        "run",
        "prompt tokens",
        "arrived",
        "whole",
        "p50 ms",
        "p95 ms",
        "p99 ms",
        "end p95",
        "others"
    );
    for (name, measures) in runs {
        for (class, counts) in &measures.classes {
            let millis = |quantile| counts.first_token_quantile(quantile).as_secs_f64() * 1000.0;
            let end = counts.total_us.value_at_quantile(0.95) as f64 / 1000.0;
            let _ = writeln!(
                text,
                "{name:<24} {:>14} {:>8} {:>8} {:>10.1} {:>10.1} {:>10.1} {end:>10.1}  {}",
                class_name(*class),
                counts.arrived,
                counts.completed,
                millis(0.50),
                millis(0.95),
                millis(0.99),
                format_other_outcomes(counts),
            );
        }
        let _ = writeln!(
            text,
            "{name:<24} {} of {} whole, {} late, crest: {} of {} tokens answered, {:.1} s",
            measures.completed(),
            measures.arrived(),
            measures.late,
            measures.peak_tokens.1,
            measures.peak_tokens.0,
            measures.elapsed.as_secs_f64(),
        );
    }
    text
}

/// Formats measures as JSON.
pub fn json(measures: &Measures) -> Value {
    let classes = measures.classes.iter().map(|(class, counts)| {
        json!({
            "upper_tokens": class.upper_tokens(),
            "arrived": counts.arrived,
            "whole": counts.completed,
            "others": counts.other_outcomes,
            "first_token_us": quantile_values(&counts.first_token_us),
            "total_us": quantile_values(&counts.total_us),
        })
    });
    json!({
        "classes": classes.collect::<Vec<_>>(),
        "tokens_by_account": measures.tokens_by_account,
        "crest_tokens_arrived": measures.peak_tokens.0,
        "crest_tokens_answered": measures.peak_tokens.1,
        "late": measures.late,
        "elapsed_s": measures.elapsed.as_secs_f64(),
    })
}

/// Formats measures as CSV, with a header and a line per class of prompt lengths.
pub fn csv(measures: &Measures) -> String {
    let mut text = String::from(
        "upper_tokens,arrived,whole,first_token_p50_us,first_token_p95_us,first_token_p99_us,\
         total_p95_us\n",
    );
    for (class, counts) in &measures.classes {
        let upper = class.upper_tokens().map(|tokens| tokens.to_string()).unwrap_or_default();
        let first_token = |quantile| counts.first_token_us.value_at_quantile(quantile);
        let _ = writeln!(
            text,
            "{upper},{},{},{},{},{},{}",
            counts.arrived,
            counts.completed,
            first_token(0.50),
            first_token(0.95),
            first_token(0.99),
            counts.total_us.value_at_quantile(0.95),
        );
    }
    text
}

fn quantile_values(histogram: &hdrhistogram::Histogram<u64>) -> Value {
    let quantiles = QUANTILES.iter().map(|(name, quantile)| {
        ((*name).to_owned(), Value::from(histogram.value_at_quantile(*quantile)))
    });
    Value::Object(quantiles.collect())
}

fn format_other_outcomes(counts: &ClassMeasures) -> String {
    let outcomes = counts.other_outcomes.iter().map(|(code, count)| format!("{count} {code}"));
    outcomes.collect::<Vec<_>>().join(", ")
}
