//! A trace collector that receives spans by OTLP over gRPC and keeps them in memory.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use eyre::Result;
use opentelemetry_proto::tonic::collector::trace::v1::ExportTraceServiceRequest;
use opentelemetry_proto::tonic::collector::trace::v1::ExportTraceServiceResponse;
use opentelemetry_proto::tonic::collector::trace::v1::trace_service_server::TraceService;
use opentelemetry_proto::tonic::collector::trace::v1::trace_service_server::TraceServiceServer;
use opentelemetry_proto::tonic::trace::v1::Span;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::transport::Server;

use crate::sync::lock;

/// A running collector, which stops when it is dropped.
#[derive(Debug)]
pub struct TraceCollector {
    spans: Arc<Mutex<Vec<Span>>>,
    address: SocketAddr,
    task: JoinHandle<()>,
}

#[derive(Debug)]
struct Service {
    spans: Arc<Mutex<Vec<Span>>>,
}

impl TraceCollector {
    /// Starts a collector on a free port of 127.0.0.1.
    ///
    /// # Errors
    /// When no port can be bound.
    pub async fn start() -> Result<Self> {
        let spans = Arc::new(Mutex::default());
        let service = TraceServiceServer::new(Service { spans: Arc::clone(&spans) });
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let server = Server::builder().add_service(service);
        let task = tokio::spawn(async move {
            let served = server.serve_with_incoming(TcpListenerStream::new(listener)).await;
            if let Err(e) = served {
                log::warn!("the gRPC server of the fake trace collector failed: {e}");
            }
        });
        Ok(Self { spans, address, task })
    }

    /// Returns its URL, without a trailing slash.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Returns all spans that it has received, in the order of arrival.
    pub fn spans(&self) -> Vec<Span> {
        lock(&self.spans).clone()
    }
}

impl Drop for TraceCollector {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[tonic::async_trait]
impl TraceService for Service {
    async fn export(
        &self,
        req: Request<ExportTraceServiceRequest>,
    ) -> Result<Response<ExportTraceServiceResponse>, Status> {
        let resources = req.into_inner().resource_spans.into_iter();
        let scopes = resources.flat_map(|resource| resource.scope_spans);
        lock(&self.spans).extend(scopes.flat_map(|scope| scope.spans));
        Ok(Response::new(ExportTraceServiceResponse::default()))
    }
}
