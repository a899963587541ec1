use crate::kit::ENGINE_SPEC;

#[test]
fn read_ms_grows_with_pairs() {
    let short = ENGINE_SPEC.read_ms(5_000);
    let long = ENGINE_SPEC.read_ms(133_000);
    // 24 ms of tokens, 2 ms of pairs, 3 steps.
    assert!((25.0..35.0).contains(&short), "{short}");
    // 646 ms of tokens, 1,220 ms of pairs, 65 steps.
    assert!((1_850.0..2_000.0).contains(&long), "{long}");
}

#[test]
fn pass_ms_is_a_stride_of_steps() {
    let alone = ENGINE_SPEC.pass_ms(1, 5_000);
    assert!((43.0 * 1.02..46.0).contains(&alone), "{alone}");
}

#[test]
fn read_ms_on_engines_is_shared_evenly() {
    let alone = ENGINE_SPEC.read_ms_on(200_000, 1);
    let four = ENGINE_SPEC.read_ms_on(200_000, 4);
    assert!((alone / four - 4.0).abs() < 0.01);
}
