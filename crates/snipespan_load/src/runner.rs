//! Sends the requests of a plan and collects their outcomes.

use std::sync::Arc;
use std::time::Instant;

use eyre::Result;
use snipespan_caller::caller::Caller;
use snipespan_caller::caller::ChatCall;
use snipespan_caller::outcome::ChatOutcome;
use tokio::sync::mpsc;

use crate::arrivals::PlannedRequest;
use crate::arrivals::generate_arrivals;
use crate::measures::Measures;
use crate::plan::LoadPlan;
use crate::prompts::generate_prompt;

/// Maximum number of outcomes that are queued to be recorded.
const MAX_QUEUED_OUTCOMES: usize = 1024;

/// Sends each request of a plan at its time of arrival, independently of the answers, and returns
/// the measures of the run.
///
/// # Errors
/// If the bounds of a histogram are invalid, or if the sending task panics.
pub async fn run_plan(plan: &LoadPlan) -> Result<Measures> {
    let plan = Arc::new(plan.clone());
    let callers: Arc<Vec<Caller>> = Arc::new(create_callers(&plan));
    let (tx, mut rx) = mpsc::channel::<(PlannedRequest, ChatOutcome)>(MAX_QUEUED_OUTCOMES);
    let started = Instant::now();
    let sender_task = tokio::spawn(send_requests(Arc::clone(&plan), callers, started, tx));
    let mut measures = Measures::new(&plan)?;
    while let Some((planned, outcome)) = rx.recv().await {
        measures.record(&planned, &outcome);
    }
    sender_task.await?;
    measures.elapsed = started.elapsed();
    Ok(measures)
}

/// Creates a caller per account and entry, ordered by account and then by entry.
fn create_callers(plan: &LoadPlan) -> Vec<Caller> {
    let accounts = plan.accounts.iter();
    accounts.flat_map(|(key, _)| plan.entries.iter().map(|url| Caller::new(url, key))).collect()
}

async fn send_requests(
    plan: Arc<LoadPlan>,
    callers: Arc<Vec<Caller>>,
    started: Instant,
    tx: mpsc::Sender<(PlannedRequest, ChatOutcome)>,
) {
    let entries = plan.entries.len();
    for (index, planned) in generate_arrivals(&plan).into_iter().enumerate() {
        tokio::time::sleep_until((started + planned.at).into()).await;
        let caller = callers[planned.account * entries + index % entries].clone();
        let plan = Arc::clone(&plan);
        let tx = tx.clone();
        tokio::spawn(async move {
            let outcome = send_request(&plan, &caller, &planned).await;
            // The receiver is open until the last sender is dropped.
            let _ = tx.send((planned, outcome)).await;
        });
    }
}

async fn send_request(plan: &LoadPlan, caller: &Caller, planned: &PlannedRequest) -> ChatOutcome {
    let prompt = generate_prompt(planned);
    let call = ChatCall {
        model: &plan.models[planned.model],
        prompt: &prompt,
        max_tokens: plan.answer_tokens,
        is_stream: true,
        time_limit: Some(plan.time_limit),
    };
    caller.chat(&call).await
}
