//! The main job: sends prompts of very different lengths through an entry and side processes.

use eyre::Result;
use eyre::bail;
use snipespan_caller::caller::ChatCall;
use snipespan_fakes::model_engine::expected_answer;

use crate::fleet::API_KEY;
use crate::fleet::Fleet;
use crate::fleet::FleetConfig;
use crate::fleet::MODELS;
use crate::prompts::generate_prompt;
use crate::statistics::format_millis;

/// Length of each answer in tokens.
const ANSWER_TOKENS: u64 = 100;

/// Lengths of the prompts in tokens.
const PROMPT_TOKENS: [usize; 3] = [1_000, 100_000, 1_000_000];

/// Sends the prompts one after another and prints the time to first token and the total time of
/// each.
///
/// With `keep_running`, the system then runs until Ctrl-C.
///
/// # Errors
/// When the system does not start, or an answer is incomplete or differs from what the fake engine
/// generates for the prompt.
pub async fn run(keep_running: bool) -> Result<()> {
    let fleet = Fleet::start(FleetConfig::with_engines(4)).await?;
    println!("One entry, 5 side processes, 4 fake engines and 1 fake service in one process.");
    println!("{:>10} {:>14} {:>12} {:>8}", "prompt", "first token", "total", "answer");
    println!("{:>10} {:>14} {:>12} {:>8}", "tokens", "ms", "ms", "tokens");
    for (index, tokens) in PROMPT_TOKENS.into_iter().enumerate() {
        let prompt = generate_prompt(tokens, index as u64);
        let call = ChatCall {
            model: MODELS[0],
            prompt: &prompt,
            max_tokens: ANSWER_TOKENS,
            is_stream: true,
            time_limit: None,
        };
        let outcome = fleet.caller().chat(&call).await;
        let is_correct = outcome.text == expected_answer(&prompt, ANSWER_TOKENS);
        if !outcome.is_complete || !is_correct {
            bail!("the answer to a prompt of {tokens} tokens is incomplete or wrong: {outcome:?}");
        }
        let first_token = format_millis(outcome.first_token.unwrap_or_default());
        let total = format_millis(outcome.total);
        println!("{tokens:>10} {first_token:>14} {total:>12} {:>8}", outcome.text_chunks);
    }
    if keep_running {
        print_curl_command(&fleet);
        tokio::signal::ctrl_c().await?;
    }
    Ok(())
}

fn print_curl_command(fleet: &Fleet) {
    println!("\nThe system keeps running until Ctrl-C. To send a request to it:\n");
    println!(
        "curl -N {url}/v1/chat/completions -H 'Authorization: Bearer {API_KEY}' \
         -d '{{\"model\":\"{model}\",\"stream\":true,\"max_tokens\":10,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"Hello\"}}]}}'",
        url = fleet.callers_url,
        model = MODELS[0],
    );
}
