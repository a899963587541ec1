//! Client of the platform's table, object and VM services over gRPC.

use std::time::Duration;

use compact_str::CompactString;
use snipespan_core::entry::event::Vm;
use snipespan_core::identity::DataCentre;
use snipespan_core::identity::VmId;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

use crate::error::PlatformError;
use crate::v1;
use crate::v1::objects_client::ObjectsClient;
use crate::v1::table_client::TableClient;
use crate::v1::vm_list_client::VmListClient;

/// Largest message of the platform, in bytes.
const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// A row of the table service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Its key.
    pub key: CompactString,
    /// Its value.
    pub value: Vec<u8>,
    /// Its version, from 1.
    pub version: u64,
}

/// A transaction: all writes if all conditions hold, and none otherwise.
#[derive(Clone, Debug, Default)]
pub struct Transaction {
    conditions: Vec<v1::Condition>,
    writes: Vec<v1::Write>,
}

impl Transaction {
    /// Requires that a row has a version, 0 meaning that it does not exist.
    #[must_use]
    pub fn require(mut self, key: &str, version: u64) -> Self {
        self.conditions.push(v1::Condition { key: key.into(), version });
        self
    }

    /// Writes a row.
    #[must_use]
    pub fn put(mut self, key: &str, value: Vec<u8>) -> Self {
        self.writes.push(v1::Write { key: key.into(), value: Some(value) });
        self
    }

    /// Removes a row.
    #[must_use]
    pub fn remove(mut self, key: &str) -> Self {
        self.writes.push(v1::Write { key: key.into(), value: None });
        self
    }
}

/// What became of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The conditions held; the writes are in force.
    Applied,
    /// A condition did not hold; nothing was written.
    ConditionFailed,
}

/// Client of the platform; clones share one connection.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    table: TableClient<Channel>,
    objects: ObjectsClient<Channel>,
    vm_list: VmListClient<Channel>,
}

impl PlatformClient {
    /// A client that connects when it is first used and whose calls end within `timeout`.
    ///
    /// # Errors
    /// When `url` is not a URL.
    pub fn new(url: &str, timeout: Duration) -> Result<Self, PlatformError> {
        let endpoint = Endpoint::from_shared(url.to_owned());
        let endpoint = endpoint
            .map_err(|e| PlatformError::Refused { detail: CompactString::from(e.to_string()) })?;
        let channel = endpoint.timeout(timeout).connect_timeout(timeout).connect_lazy();
        Ok(Self {
            table: TableClient::new(channel.clone()).max_decoding_message_size(MAX_MESSAGE_BYTES),
            objects: ObjectsClient::new(channel.clone())
                .max_decoding_message_size(MAX_MESSAGE_BYTES),
            vm_list: VmListClient::new(channel),
        })
    }

    /// Reads the rows of `keys` that exist, in the order of their keys.
    ///
    /// # Errors
    /// [`PlatformError`] when the service gives no answer.
    pub async fn read(&self, keys: &[&str]) -> Result<Vec<Row>, PlatformError> {
        let keys = keys.iter().map(|key| (*key).to_owned()).collect();
        let response = self.table.clone().read(v1::ReadRequest { keys }).await?;
        Ok(decode_rows(response.into_inner()))
    }

    /// Reads one row.
    ///
    /// # Errors
    /// [`PlatformError`] when the service gives no answer.
    pub async fn read_one(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        Ok(self.read(&[key]).await?.pop())
    }

    /// Reads up to `limit` rows from `from` on, before `until`, in the order of their keys.
    ///
    /// # Errors
    /// [`PlatformError`] when the service gives no answer.
    pub async fn scan(
        &self,
        from: &str,
        until: &str,
        limit: u32,
    ) -> Result<Vec<Row>, PlatformError> {
        let req = v1::ScanRequest { from: from.into(), until: until.into(), limit };
        let response = self.table.clone().scan(req).await?;
        Ok(decode_rows(response.into_inner()))
    }

    /// Commits a transaction.
    ///
    /// # Errors
    /// [`PlatformError::NoAnswer`] when it may or may not have been applied.
    pub async fn commit(&self, transaction: Transaction) -> Result<CommitOutcome, PlatformError> {
        let Transaction { conditions, writes } = transaction;
        let req = v1::CommitRequest { conditions, writes };
        let response = self.table.clone().commit(req).await?;
        Ok(match response.into_inner().applied {
            true => CommitOutcome::Applied,
            false => CommitOutcome::ConditionFailed,
        })
    }

    /// Reads an object.
    ///
    /// # Errors
    /// [`PlatformError`] when the service gives no answer.
    pub async fn get_object(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        let req = v1::GetObjectRequest { name: name.into() };
        Ok(self.objects.clone().get(req).await?.into_inner().value)
    }

    /// Writes an object whole.
    ///
    /// # Errors
    /// [`PlatformError`] when the service gives no answer.
    pub async fn put_object(&self, name: &str, value: Vec<u8>) -> Result<(), PlatformError> {
        let req = v1::PutObjectRequest { name: name.into(), value };
        self.objects.clone().put(req).await?;
        Ok(())
    }

    /// Reads the VMs that have a side process.
    ///
    /// # Errors
    /// [`PlatformError`] when the service gives no answer.
    pub async fn list_vms(&self) -> Result<Vec<Vm>, PlatformError> {
        let response = self.vm_list.clone().list(v1::ListVmsRequest {}).await?;
        let vms = response.into_inner().vms.into_iter();
        Ok(vms.filter(|vm| !vm.side_address.is_empty()).map(decode_vm).collect())
    }
}

fn decode_rows(response: v1::ReadResponse) -> Vec<Row> {
    let rows = response.rows.into_iter();
    rows.map(|row| Row { key: row.key.into(), value: row.value, version: row.version }).collect()
}

fn decode_vm(vm: v1::Vm) -> Vm {
    let is_leaving = vm.state() == v1::VmState::Leaving;
    Vm {
        id: VmId(vm.id.into()),
        data_centre: DataCentre(vm.data_centre.into()),
        address: vm.side_address.into(),
        is_leaving,
    }
}
