//! OpenTelemetry traces: one span per hop under the trace id of the caller.

use std::collections::HashMap;

use compact_str::CompactString;
use eyre::Result;
use opentelemetry::Context;
use opentelemetry::KeyValue;
use opentelemetry::global;
use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::SpanKind;
use opentelemetry::trace::TraceContextExt;
use opentelemetry::trace::Tracer;
use opentelemetry_otlp::SpanExporter;
use opentelemetry_otlp::WithExportConfig;
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::Sampler;
use opentelemetry_sdk::trace::SdkTracerProvider;

/// Header with the W3C trace context.
pub const TRACEPARENT_HEADER: &str = "traceparent";

/// Name of the instrumentation scope of all spans.
const INSTRUMENTATION_SCOPE: &str = "snipespan";

/// Exporter of spans; it lives until the end of the process.
#[derive(Debug)]
pub struct Traces {
    provider: Option<SdkTracerProvider>,
}

impl Traces {
    /// Starts the export of spans to `url`; `None` exports none. Requires a running tokio runtime.
    ///
    /// Of 1000 traces that this process starts, about `per_mille` are sampled. A received trace
    /// context contains the decision of its sender, which is kept.
    ///
    /// # Errors
    /// If the exporter cannot be created.
    pub fn start(service: &str, url: Option<&str>, per_mille: u64) -> Result<Self> {
        let Some(url) = url else { return Ok(Self { provider: None }) };
        let exporter = SpanExporter::builder().with_tonic().with_endpoint(url).build()?;
        let ratio = Sampler::TraceIdRatioBased(per_mille as f64 / 1000.0);
        let provider = SdkTracerProvider::builder()
            .with_batch_exporter(exporter)
            .with_sampler(Sampler::ParentBased(Box::new(ratio)))
            .with_resource(Resource::builder().with_service_name(service.to_owned()).build())
            .build();
        global::set_tracer_provider(provider.clone());
        Ok(Self { provider: Some(provider) })
    }

    /// Exports the spans that are still buffered.
    pub fn flush(&self) {
        let Some(provider) = &self.provider else { return };
        if let Err(e) = provider.force_flush() {
            log::warn!("the buffered spans were not exported: {e}");
        }
    }
}

/// Span of one hop, a process that handles a request; the span ends when it is dropped.
#[derive(Debug)]
pub struct HopSpan {
    cx: Context,
    received_traceparent: CompactString,
}

impl HopSpan {
    /// Starts a span under the trace context `traceparent`, or a new trace if it is empty.
    pub fn start(name: &'static str, kind: SpanKind, traceparent: &str) -> Self {
        let headers = HashMap::from([(TRACEPARENT_HEADER.to_owned(), traceparent.to_owned())]);
        let parent = TraceContextPropagator::new().extract(&headers);
        let tracer = global::tracer(INSTRUMENTATION_SCOPE);
        let span = tracer.span_builder(name).with_kind(kind).start_with_context(&tracer, &parent);
        Self { cx: parent.with_span(span), received_traceparent: traceparent.into() }
    }

    /// Returns the trace context to forward; the received one if no traces are exported.
    pub fn traceparent(&self) -> CompactString {
        let mut headers = HashMap::new();
        TraceContextPropagator::new().inject_context(&self.cx, &mut headers);
        headers
            .remove(TRACEPARENT_HEADER)
            .map_or_else(|| self.received_traceparent.clone(), CompactString::from)
    }

    /// Sets an attribute of the span.
    pub fn set_attribute(&self, key: &'static str, value: impl Into<opentelemetry::Value>) {
        self.cx.span().set_attribute(KeyValue::new(key, value));
    }
}

impl Drop for HopSpan {
    fn drop(&mut self) {
        self.cx.span().end();
    }
}
