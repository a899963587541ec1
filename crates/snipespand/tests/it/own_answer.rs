//! Each caller receives the complete answer to its own request and never part of another answer,
//! when an engine disconnects or sends wrong tokens.

use futures_util::future::join_all;
use rstest::rstest;
use snipespan_core::result_code::ResultCode;
use snipespan_fakes::model_engine::EngineFaults;
use snipespan_fakes::model_engine::expected_answer;

use crate::harness::Fleet;
use crate::harness::caller;
use crate::harness::chat;
use crate::harness::generate_prompt;

/// Number of tokens of each answer.
const OUTPUT_TOKENS: u64 = 40;

/// Returns the fault that the connection breaks after 13 of the [`OUTPUT_TOKENS`] tokens.
fn disconnected_answer() -> EngineFaults {
    EngineFaults { disconnect_after: Some(13), ..Default::default() }
}

/// Returns the fault that the token at position 13 is sent twice.
fn repeated_token() -> EngineFaults {
    EngineFaults { repeat_token: Some(13), ..Default::default() }
}

/// Returns the fault that the token at position 13 is not sent.
fn skipped_token() -> EngineFaults {
    EngineFaults { skip_token: Some(13), ..Default::default() }
}

/// Returns the fault that the tokens at positions 13 and 14 are swapped.
fn swapped_tokens() -> EngineFaults {
    EngineFaults { swap_token: Some(13), ..Default::default() }
}

/// Returns the fault that the token at position 13 has the identity of another request.
fn mislabelled_token() -> EngineFaults {
    EngineFaults { mislabel_token: Some(13), ..Default::default() }
}

/// Returns the fault that the answer ends after 13 tokens as if it were complete.
fn truncated_answer() -> EngineFaults {
    EngineFaults { truncate_after: Some(13), ..Default::default() }
}

/// One of two engines is faulty: every answer is continued by the other engine, without repeated or
/// missing tokens.
#[rstest]
#[case::cut(disconnected_answer())]
#[case::repeat(repeated_token())]
#[case::skip(skipped_token())]
#[case::swap(swapped_tokens())]
#[case::cross(mislabelled_token())]
#[case::truncate(truncated_answer())]
#[tokio::test(flavor = "multi_thread")]
async fn chat_one_engine_faulty(#[case] faults: EngineFaults) {
    let fleet = Fleet::start(1, 2).await;
    fleet.engines[0].set_faults(faults);
    let caller = caller(&fleet.entries[0]);
    let prompts: Vec<_> = (0..16).map(|seed| generate_prompt(1_000, seed)).collect();
    let outcomes = join_all(prompts.iter().map(|text| {
        let call = chat(text, OUTPUT_TOKENS);
        let caller = caller.clone();
        async move { caller.chat(&call).await }
    }))
    .await;
    for (prompt, outcome) in prompts.iter().zip(&outcomes) {
        assert!(outcome.is_complete, "{outcome:?}");
        assert_eq!(outcome.text, expected_answer(prompt, OUTPUT_TOKENS));
    }
    assert!(!fleet.engines[0].log().started.is_empty(), "the faulty engine got no request");
}

/// Both engines are faulty: no answer ends as a complete one, and the tokens sent are a correct
/// prefix. Only a repeated token is recovered from: the next attempt resumes after its position,
/// and in all other cases it meets the fault again.
#[rstest]
#[case::cut(disconnected_answer(), false)]
#[case::repeat(repeated_token(), true)]
#[case::skip(skipped_token(), false)]
#[case::swap(swapped_tokens(), false)]
#[case::cross(mislabelled_token(), false)]
#[case::truncate(truncated_answer(), false)]
#[tokio::test(flavor = "multi_thread")]
async fn chat_all_engines_faulty(#[case] faults: EngineFaults, #[case] is_recovered: bool) {
    let fleet = Fleet::start(1, 2).await;
    for engine in &fleet.engines {
        engine.set_faults(faults);
    }
    for is_stream in [true, false] {
        let prompt = generate_prompt(1_000, 5);
        let mut call = chat(&prompt, OUTPUT_TOKENS);
        call.is_stream = is_stream;
        let outcome = caller(&fleet.entries[0]).chat(&call).await;
        let expected = expected_answer(&prompt, OUTPUT_TOKENS);
        if is_recovered {
            assert!(outcome.is_complete, "{outcome:?}");
            assert_eq!(outcome.text, expected);
            continue;
        }
        assert!(!outcome.is_complete, "{outcome:?}");
        assert!(expected.starts_with(&outcome.text), "{outcome:?}");
        let code = outcome.code.expect("a failed chat has a result code");
        let expected_codes = [ResultCode::AnswerCut, ResultCode::AnswerCorrupt];
        assert!(expected_codes.contains(&code), "{outcome:?}");
    }
}
