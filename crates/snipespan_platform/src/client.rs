//! gRPC client of the platform's table, object store and VM list services.

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

/// Maximum size of a response of the table service or the object store, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// A row of the table service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Key of the row.
    pub key: CompactString,
    /// Encoded value of the row.
    pub value: Vec<u8>,
    /// Version of the row, which starts at 1 and grows with each write.
    pub version: u64,
}

/// A transaction that applies all its writes if all its conditions hold, and none otherwise.
#[derive(Clone, Debug, Default)]
pub struct Transaction {
    conditions: Vec<v1::Condition>,
    writes: Vec<v1::Write>,
}

impl Transaction {
    /// Adds the condition that a row has `version`, where 0 means that the row does not exist.
    #[must_use]
    pub fn require(mut self, key: &str, version: u64) -> Self {
        self.conditions.push(v1::Condition { key: key.into(), version });
        self
    }

    /// Adds a write of a row.
    #[must_use]
    pub fn put(mut self, key: &str, value: Vec<u8>) -> Self {
        self.writes.push(v1::Write { key: key.into(), value: Some(value) });
        self
    }

    /// Adds the removal of a row.
    #[must_use]
    pub fn remove(mut self, key: &str) -> Self {
        self.writes.push(v1::Write { key: key.into(), value: None });
        self
    }
}

/// Outcome of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// All conditions held, and all writes were applied.
    Applied,
    /// At least one condition did not hold, and nothing was written.
    ConditionFailed,
}

/// A client of the platform; clones share one connection.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    table: TableClient<Channel>,
    objects: ObjectsClient<Channel>,
    vm_list: VmListClient<Channel>,
}

impl PlatformClient {
    /// Creates a client that connects on first use; each call fails after `timeout`.
    ///
    /// # Errors
    /// [`PlatformError::Refused`] if `url` is not a valid URL.
    pub fn new(url: &str, timeout: Duration) -> Result<Self, PlatformError> {
        let endpoint = Endpoint::from_shared(url.to_owned());
        let endpoint = endpoint
            .map_err(|e| PlatformError::Refused { detail: CompactString::from(e.to_string()) })?;
        let channel = endpoint.timeout(timeout).connect_timeout(timeout).connect_lazy();
        Ok(Self {
            table: TableClient::new(channel.clone()).max_decoding_message_size(MAX_RESPONSE_BYTES),
            objects: ObjectsClient::new(channel.clone())
                .max_decoding_message_size(MAX_RESPONSE_BYTES),
            vm_list: VmListClient::new(channel),
        })
    }

    /// Returns the rows of `keys` that exist, in key order.
    ///
    /// # Errors
    /// [`PlatformError`] if the table service refuses the call or does not answer.
    pub async fn read(&self, keys: &[&str]) -> Result<Vec<Row>, PlatformError> {
        let keys = keys.iter().map(|key| (*key).to_owned()).collect();
        let response = self.table.clone().read(v1::ReadRequest { keys }).await?;
        Ok(decode_rows(response.into_inner()))
    }

    /// Returns the row of `key`; `None` if it does not exist.
    ///
    /// # Errors
    /// [`PlatformError`] if the table service refuses the call or does not answer.
    pub async fn read_one(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        Ok(self.read(&[key]).await?.pop())
    }

    /// Returns up to `limit` rows with keys from `from`, included, to `until`, excluded, in key
    /// order.
    ///
    /// # Errors
    /// [`PlatformError`] if the table service refuses the call or does not answer.
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
    /// [`PlatformError::Refused`] if the transaction was certainly not applied, and
    /// [`PlatformError::NoAnswer`] if it may have been applied.
    pub async fn commit(&self, transaction: Transaction) -> Result<CommitOutcome, PlatformError> {
        let Transaction { conditions, writes } = transaction;
        let req = v1::CommitRequest { conditions, writes };
        let response = self.table.clone().commit(req).await?;
        Ok(match response.into_inner().applied {
            true => CommitOutcome::Applied,
            false => CommitOutcome::ConditionFailed,
        })
    }

    /// Returns the value of an object; `None` if it does not exist.
    ///
    /// # Errors
    /// [`PlatformError`] if the object store refuses the call or does not answer.
    pub async fn get_object(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        let req = v1::GetObjectRequest { name: name.into() };
        Ok(self.objects.clone().get(req).await?.into_inner().value)
    }

    /// Creates an object or replaces its value.
    ///
    /// # Errors
    /// [`PlatformError`] if the object store refuses the call or does not answer.
    pub async fn put_object(&self, name: &str, value: Vec<u8>) -> Result<(), PlatformError> {
        let req = v1::PutObjectRequest { name: name.into(), value };
        self.objects.clone().put(req).await?;
        Ok(())
    }

    /// Returns the VMs that run a side process, which serves entries on behalf of a backend server.
    /// These are the listed VMs with a side address.
    ///
    /// # Errors
    /// [`PlatformError`] if the VM list service refuses the call or does not answer.
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
