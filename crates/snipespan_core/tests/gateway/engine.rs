use crate::kit::ENGINE_SPEC;

#[test]
fn prefill_ms_grows_with_pairs_of_tokens() {
    let short = ENGINE_SPEC.prefill_ms(5_000);
    let long = ENGINE_SPEC.prefill_ms(133_000);
    // 24 ms for tokens, 2 ms for attention, 3 steps.
    assert!((25.0..35.0).contains(&short), "{short}");
    // 646 ms for tokens, 1,220 ms for attention, 65 steps.
    assert!((1_850.0..2_000.0).contains(&long), "{long}");
}

#[test]
fn iteration_ms_counts_all_its_decode_steps() {
    let alone = ENGINE_SPEC.iteration_ms(1, 5_000);
    assert!((43.0 * 1.02..46.0).contains(&alone), "{alone}");
}

#[test]
fn prefill_ms_on_divides_time_by_engines() {
    let alone = ENGINE_SPEC.prefill_ms_on(200_000, 1);
    let four = ENGINE_SPEC.prefill_ms_on(200_000, 4);
    assert!((alone / four - 4.0).abs() < 0.01);
}
