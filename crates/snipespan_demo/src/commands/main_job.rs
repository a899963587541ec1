//! The main job: prompts of very unlike lengths through entry and side process.

use eyre::Result;
use eyre::bail;
use snipespan_caller::caller::ChatCall;
use snipespan_fakes::model_engine::expected_answer;

use crate::fleet::API_KEY;
use crate::fleet::Fleet;
use crate::fleet::FleetShape;
use crate::fleet::MODELS;
use crate::prompts::prompt;
use crate::statistics::millis;

/// Tokens of each answer.
const ANSWER_TOKENS: u64 = 100;

/// Prompt lengths in tokens.
const PROMPT_TOKENS: [usize; 3] = [1_000, 100_000, 1_000_000];

/// Sends the prompts and prints how each went; stays up afterwards if asked to.
///
/// # Errors
/// When an answer is not whole or not the one that the engine gives.
pub async fn run(stay: bool) -> Result<()> {
    let fleet = Fleet::start(FleetShape::of_engines(4)).await?;
    println!(
        "One entry, 5 side processes, 4 engine stand-ins, 1 service stand-in, in one process."
    );
    println!("{:>10} {:>14} {:>12} {:>8}", "prompt", "first token", "total", "answer");
    println!("{:>10} {:>14} {:>12} {:>8}", "tokens", "ms", "ms", "tokens");
    for (index, tokens) in PROMPT_TOKENS.into_iter().enumerate() {
        let prompt = prompt(tokens, index as u64);
        let call = ChatCall {
            model: MODELS[0],
            prompt: &prompt,
            max_tokens: ANSWER_TOKENS,
            is_stream: true,
            time_limit: None,
        };
        let outcome = fleet.caller().chat(&call).await;
        let is_right = outcome.text == expected_answer(&prompt, ANSWER_TOKENS);
        if !outcome.is_complete || !is_right {
            bail!("the answer to {tokens} tokens is not whole: {outcome:?}");
        }
        let first_token = millis(outcome.first_token.unwrap_or_default());
        let total = millis(outcome.total);
        println!("{tokens:>10} {first_token:>14} {total:>12} {:>8}", outcome.text_chunks);
    }
    if stay {
        print_curl(&fleet);
        tokio::signal::ctrl_c().await?;
    }
    Ok(())
}

fn print_curl(fleet: &Fleet) {
    println!("\nThe system stays up. Paste this, or end it with Ctrl-C:\n");
    println!(
        "curl -N {url}/v1/chat/completions -H 'Authorization: Bearer {API_KEY}' \
         -d '{{\"model\":\"{model}\",\"stream\":true,\"max_tokens\":10,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"Hello\"}}]}}'",
        url = fleet.callers_url,
        model = MODELS[0],
    );
}
