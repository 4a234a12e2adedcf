//! This controller's own key among the members.

use super::records::{MEMBER_PREFIX, MemberRecord};
use crate::calls::{Purpose, is_lost_lease};
use crate::controller::Controller;
use crate::ids::Stamp;
use crate::protocol::TxnAnswer;
use serde_json::json;

impl Controller {
    pub(super) fn write_member(&mut self) {
        let Some(permit) = self.member.permit else { return };
        if self.member.writing || !self.entitled() || !self.member.listed || self.now.ms < self.member.write_from {
            return;
        }
        let record = MemberRecord {
            inc: self.member.inc,
            ack: self.epoch().map_or(0, |e| e.0),
            knows: self.settings.level(),
        };
        if self.member.written.as_ref() == Some(&record) {
            return;
        }
        self.member.writing = true;
        let key = format!("{MEMBER_PREFIX}{}", self.me);
        let ack = record.ack;
        self.txn(
            vec![json!({ "k": key, "stamp": self.member.own_stamp })],
            vec![json!({ "write": key, "value": record, "permit": permit })],
            Purpose::MemberWrite { ack },
        );
        self.member.written = Some(record);
    }

    pub(crate) fn on_member_write(&mut self, _ack: u64, result: Option<(u16, Vec<u8>)>) {
        self.member.writing = false;
        match result {
            Some((200, body)) => {
                let stamp = serde_json::from_slice::<TxnAnswer>(&body).map_or(0, |a| a.ledger);
                self.member.own_stamp = self.member.own_stamp.max(Stamp(stamp));
            }
            Some((400, body)) if is_lost_lease(&body) => self.lose_lease(),
            _ => {
                // The watch tells what stands there now.
                self.member.written = None;
                self.member.write_from = self.now.ms + self.settings.report_ms() / 16;
            }
        }
    }
}
