//! Traces by OpenTelemetry: one span a hop under the caller's trace identity.

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

/// The W3C header that carries a trace context.
pub const TRACEPARENT_HEADER: &str = "traceparent";

const INSTRUMENTATION_SCOPE: &str = "snipespan";

/// The running export of spans; dropped at the end of the process.
#[derive(Debug)]
pub struct Traces {
    provider: Option<SdkTracerProvider>,
}

impl Traces {
    /// Starts the export to `url`, or none. Needs a running tokio runtime.
    ///
    /// # Errors
    /// When the exporter cannot be built.
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

    /// Sends what is still held back.
    pub fn flush(&self) {
        let Some(provider) = &self.provider else { return };
        if let Err(e) = provider.force_flush() {
            log::warn!("spans were not exported: {e}");
        }
    }
}

/// The span of one hop; it ends when it is dropped.
#[derive(Debug)]
pub struct HopSpan {
    cx: Context,
    received_traceparent: CompactString,
}

impl HopSpan {
    /// Starts a span under the trace context of `traceparent`, or a new trace if that is empty.
    pub fn start(name: &'static str, kind: SpanKind, traceparent: &str) -> Self {
        let headers = HashMap::from([(TRACEPARENT_HEADER.to_owned(), traceparent.to_owned())]);
        let parent = TraceContextPropagator::new().extract(&headers);
        let tracer = global::tracer(INSTRUMENTATION_SCOPE);
        let span = tracer.span_builder(name).with_kind(kind).start_with_context(&tracer, &parent);
        Self { cx: parent.with_span(span), received_traceparent: traceparent.into() }
    }

    /// The trace context to pass on; the received one while no traces are exported.
    pub fn traceparent(&self) -> CompactString {
        let mut headers = HashMap::new();
        TraceContextPropagator::new().inject_context(&self.cx, &mut headers);
        headers
            .remove(TRACEPARENT_HEADER)
            .map_or_else(|| self.received_traceparent.clone(), CompactString::from)
    }

    /// Adds an attribute.
    pub fn set_attribute(&self, key: &'static str, value: impl Into<opentelemetry::Value>) {
        self.cx.span().set_attribute(KeyValue::new(key, value));
    }
}

impl Drop for HopSpan {
    fn drop(&mut self) {
        self.cx.span().end();
    }
}
