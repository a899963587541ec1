//! A fake of the platform of entries and side processes: a transactional table, an object store,
//! and a list of VMs that lags behind.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use eyre::Result;
use snipespan_platform::v1;
use snipespan_platform::v1::objects_server::Objects;
use snipespan_platform::v1::objects_server::ObjectsServer;
use snipespan_platform::v1::table_server::Table;
use snipespan_platform::v1::table_server::TableServer;
use snipespan_platform::v1::vm_list_server::VmList;
use snipespan_platform::v1::vm_list_server::VmListServer;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::transport::Server;

use crate::sync::lock;

/// Maximum size of a received message, in bytes.
const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// Period over which commits are counted.
const ONE_SECOND: Duration = Duration::from_secs(1);

/// Faults of the platform, which tests may change while it runs.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformFaults {
    /// Whether all calls to the table and the object store fail as unavailable.
    pub is_down: bool,
    /// Delay of each call to the table and the object store.
    pub delay: Duration,
    /// Number of next commits that are applied but whose callers get the error "unavailable"
    /// instead of the answer.
    pub lose_answers: u32,
    /// Whether reads and scans see the table as of [`FakePlatform::snapshot_for_stale_reads`].
    pub reads_are_stale: bool,
    /// Maximum number of commits per second; further ones are refused. `None` sets no limit.
    pub max_commits_per_second: Option<u64>,
    /// Delay after which a published list of VMs becomes visible to readers.
    pub vm_list_lag: Duration,
}

/// Numbers of calls that the platform has handled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlatformCounts {
    /// Reads and scans of the table.
    pub reads: u64,
    /// Commits to the table, including those whose conditions did not hold, without those refused
    /// by [`PlatformFaults::max_commits_per_second`].
    pub commits: u64,
    /// Reads and writes of the object store.
    pub objects: u64,
    /// Reads of the list of VMs.
    pub vm_lists: u64,
}

/// Value and version of each row, by key. Versions start at 1; an absent row has version 0.
type Rows = BTreeMap<String, (Vec<u8>, u64)>;

#[derive(Debug, Default)]
struct State {
    rows: Rows,
    stale_rows: Rows,
    objects: BTreeMap<String, Vec<u8>>,
    /// Published lists of VMs, each with the time of its publication.
    vm_lists: Vec<(Instant, Vec<v1::Vm>)>,
    /// Start of the current second, and the number of commits in it, refused or not.
    commit_window: Option<(Instant, u64)>,
    counts: PlatformCounts,
}

impl State {
    /// Counts a commit, refused or not, and returns the number of commits in the current second,
    /// which starts with the first commit after the end of the previous one.
    fn count_commit(&mut self, now: Instant) -> u64 {
        let window =
            self.commit_window.filter(|(began, _)| now.duration_since(*began) < ONE_SECOND);
        let (began, count) = window.unwrap_or((now, 0));
        self.commit_window = Some((began, count + 1));
        count + 1
    }
}

#[derive(Debug, Default)]
struct Shared {
    faults: Mutex<PlatformFaults>,
    state: Mutex<State>,
}

/// A running platform, which stops and loses its data when it is dropped.
#[derive(Debug)]
pub struct FakePlatform {
    shared: Arc<Shared>,
    address: SocketAddr,
    task: JoinHandle<()>,
}

#[derive(Clone, Debug)]
struct Service {
    shared: Arc<Shared>,
}

impl FakePlatform {
    /// Starts an empty platform on a free port of 127.0.0.1.
    ///
    /// # Errors
    /// When no port can be bound.
    pub async fn start() -> Result<Self> {
        let shared = Arc::new(Shared::default());
        let service = Service { shared: Arc::clone(&shared) };
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let table = TableServer::new(service.clone()).max_decoding_message_size(MAX_MESSAGE_BYTES);
        let objects =
            ObjectsServer::new(service.clone()).max_decoding_message_size(MAX_MESSAGE_BYTES);
        let server = Server::builder()
            .add_service(table)
            .add_service(objects)
            .add_service(VmListServer::new(service));
        let task = tokio::spawn(async move {
            let served = server.serve_with_incoming(TcpListenerStream::new(listener)).await;
            if let Err(e) = served {
                log::warn!("the gRPC server of the fake platform failed: {e}");
            }
        });
        Ok(Self { shared, address, task })
    }

    /// Returns its URL, without a trailing slash.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Returns the address on which it listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces its faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        *lock(&self.shared.faults) = faults;
    }

    /// Copies the table. While [`PlatformFaults::reads_are_stale`] is set, reads see the last copy,
    /// or no rows if there is none.
    pub fn snapshot_for_stale_reads(&self) {
        let mut state = lock(&self.shared.state);
        state.stale_rows = state.rows.clone();
    }

    /// Publishes a list of VMs, which readers see after [`PlatformFaults::vm_list_lag`].
    pub fn set_vms(&self, vms: Vec<v1::Vm>) {
        lock(&self.shared.state).vm_lists.push((Instant::now(), vms));
    }

    /// Returns the numbers of calls so far.
    pub fn counts(&self) -> PlatformCounts {
        lock(&self.shared.state).counts
    }

    /// Returns the keys of all rows, sorted.
    pub fn keys(&self) -> Vec<String> {
        lock(&self.shared.state).rows.keys().cloned().collect()
    }
}

impl Drop for FakePlatform {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Service {
    /// Waits for the delay of the faults.
    ///
    /// # Errors
    /// When the faults say that the service is down.
    async fn apply_faults(&self) -> Result<(), Status> {
        let faults = *lock(&self.shared.faults);
        tokio::time::sleep(faults.delay).await;
        match faults.is_down {
            true => Err(Status::unavailable("the service is down")),
            false => Ok(()),
        }
    }

    /// Counts a read and returns the rows that `select` finds in the current or the stale table.
    fn read_rows(&self, select: impl Fn(&Rows) -> Vec<v1::Row>) -> Response<v1::ReadResponse> {
        let is_stale = lock(&self.shared.faults).reads_are_stale;
        let mut state = lock(&self.shared.state);
        state.counts.reads += 1;
        let rows = match is_stale {
            true => select(&state.stale_rows),
            false => select(&state.rows),
        };
        Response::new(v1::ReadResponse { rows })
    }

    /// Returns whether the answer to an applied commit shall be lost, and counts down the number of
    /// answers to lose.
    fn consume_lost_answer(&self) -> bool {
        let mut faults = lock(&self.shared.faults);
        let loses = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        loses
    }
}

fn encode_row(key: &str, value: &(Vec<u8>, u64)) -> v1::Row {
    v1::Row { key: key.to_owned(), value: value.0.clone(), version: value.1 }
}

#[tonic::async_trait]
impl Table for Service {
    async fn read(
        &self,
        req: Request<v1::ReadRequest>,
    ) -> Result<Response<v1::ReadResponse>, Status> {
        self.apply_faults().await?;
        let mut keys = req.into_inner().keys;
        keys.sort();
        let select = |rows: &Rows| {
            let found =
                keys.iter().filter_map(|key| rows.get(key).map(|value| encode_row(key, value)));
            found.collect()
        };
        Ok(self.read_rows(select))
    }

    async fn scan(
        &self,
        req: Request<v1::ScanRequest>,
    ) -> Result<Response<v1::ReadResponse>, Status> {
        self.apply_faults().await?;
        let v1::ScanRequest { from, until, limit } = req.into_inner();
        if from >= until {
            return Ok(self.read_rows(|_| Vec::new()));
        }
        let select = |rows: &Rows| {
            let range = rows.range(from.clone()..until.clone()).take(limit as usize);
            range.map(|(key, value)| encode_row(key, value)).collect()
        };
        Ok(self.read_rows(select))
    }

    async fn commit(
        &self,
        req: Request<v1::CommitRequest>,
    ) -> Result<Response<v1::CommitResponse>, Status> {
        self.apply_faults().await?;
        let v1::CommitRequest { conditions, writes } = req.into_inner();
        let limit = lock(&self.shared.faults).max_commits_per_second;
        let mut state = lock(&self.shared.state);
        if limit.is_some_and(|limit| state.count_commit(Instant::now()) > limit) {
            return Err(Status::resource_exhausted("too many commits in this second"));
        }
        state.counts.commits += 1;
        let version = |state: &State, key: &str| state.rows.get(key).map_or(0, |row| row.1);
        let applied = conditions.iter().all(|c| version(&state, &c.key) == c.version);
        for write in writes.into_iter().filter(|_| applied) {
            let next = version(&state, &write.key) + 1;
            match write.value {
                Some(value) => drop(state.rows.insert(write.key, (value, next))),
                None => drop(state.rows.remove(&write.key)),
            }
        }
        drop(state);
        if applied && self.consume_lost_answer() {
            return Err(Status::unavailable("the answer is lost"));
        }
        Ok(Response::new(v1::CommitResponse { applied }))
    }
}

#[tonic::async_trait]
impl Objects for Service {
    async fn get(
        &self,
        req: Request<v1::GetObjectRequest>,
    ) -> Result<Response<v1::GetObjectResponse>, Status> {
        self.apply_faults().await?;
        let mut state = lock(&self.shared.state);
        state.counts.objects += 1;
        let value = state.objects.get(&req.into_inner().name).cloned();
        Ok(Response::new(v1::GetObjectResponse { value }))
    }

    async fn put(
        &self,
        req: Request<v1::PutObjectRequest>,
    ) -> Result<Response<v1::PutObjectResponse>, Status> {
        self.apply_faults().await?;
        let v1::PutObjectRequest { name, value } = req.into_inner();
        let mut state = lock(&self.shared.state);
        state.counts.objects += 1;
        state.objects.insert(name, value);
        Ok(Response::new(v1::PutObjectResponse {}))
    }
}

#[tonic::async_trait]
impl VmList for Service {
    async fn list(
        &self,
        _req: Request<v1::ListVmsRequest>,
    ) -> Result<Response<v1::ListVmsResponse>, Status> {
        let lag = lock(&self.shared.faults).vm_list_lag;
        let mut state = lock(&self.shared.state);
        state.counts.vm_lists += 1;
        let seen = state.vm_lists.iter().rev().find(|(published, _)| published.elapsed() >= lag);
        let vms = seen.map(|(_, vms)| vms.clone()).unwrap_or_default();
        Ok(Response::new(v1::ListVmsResponse { vms }))
    }
}
