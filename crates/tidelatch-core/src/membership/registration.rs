//! This controller's own member record.

use super::records::{MEMBER_PREFIX, MemberRecord};
use crate::calls::{CallPurpose, is_lost_lease_error};
use crate::controller::Controller;
use crate::ids::Revision;
use crate::protocol::TxnAnswer;
use serde_json::json;

impl Controller {
    /// Writes this controller's member record if the stored one differs.
    pub(super) fn write_member_record(&mut self) {
        let Some(lease_id) = self.membership.lease_id else {
            return;
        };
        if self.membership.is_writing_record
            || !self.is_entitled()
            || !self.membership.has_listed_keys
            || self.now.ms < self.membership.next_record_write_ms
        {
            return;
        }
        let record = MemberRecord {
            incarnation: self.membership.incarnation,
            acknowledged_epoch: self.epoch().map_or(0, |e| e.0),
            feature_level: self.settings.level(),
        };
        if self.membership.written_record.as_ref() == Some(&record) {
            return;
        }
        self.membership.is_writing_record = true;
        let key = format!("{MEMBER_PREFIX}{}", self.own_name);
        self.txn(
            vec![json!({ "k": key, "stamp": self.membership.own_revision })],
            vec![json!({ "write": key, "value": record, "permit": lease_id })],
            CallPurpose::MemberWrite,
        );
        self.membership.written_record = Some(record);
    }

    /// Handles the reply to the write of this controller's member record.
    pub(crate) fn on_member_write(&mut self, result: Option<(u16, Vec<u8>)>) {
        self.membership.is_writing_record = false;
        match result {
            Some((200, body)) => {
                let revision = serde_json::from_slice::<TxnAnswer>(&body).map_or(0, |a| a.ledger);
                self.membership.own_revision = self.membership.own_revision.max(Revision(revision));
            }
            Some((400, body)) if is_lost_lease_error(&body) => self.handle_lost_lease(),
            _ => {
                // The write failed or its outcome is unknown: the watch delivers the record that is stored now. The
                // write is repeated after a sixteenth of the report interval.
                self.membership.written_record = None;
                self.membership.next_record_write_ms = self.now.ms + self.settings.report_ms() / 16;
            }
        }
    }
}
