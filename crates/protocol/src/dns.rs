//! DNS messages (RFC 1035, with SRV records as in RFC 2782): the query for a service, and the hosts in its answer.

use std::net::Ipv4Addr;
use std::ops::Range;

/// Maximum length of an accepted answer, in bytes.
pub const MAX_ANSWER_BYTES: usize = 8192;

const TYPE_A: u16 = 1;
const TYPE_SOA: u16 = 6;
const TYPE_TXT: u16 = 16;
const TYPE_SRV: u16 = 33;
const TYPE_OPT: u16 = 41;
const CLASS_IN: u16 = 1;

const FLAG_RESPONSE: u16 = 0x8000;
const FLAG_TRUNCATED: u16 = 0x0200;
const RESPONSE_CODE_MASK: u16 = 0x000F;
const POINTER_MASK: u16 = 0x3FFF;

const HEADER_BYTES: usize = 12;
/// Length of a question's type and class, which follow its name, in bytes.
const QUESTION_FIXED_BYTES: usize = 4;
/// Length of a record's type, class, time to live and data length, which follow its name, in bytes.
const RECORD_FIXED_BYTES: usize = 10;
/// Length of an SRV record's priority, weight and port, which its target follows, in bytes.
const SRV_FIXED_BYTES: usize = 6;
const MAX_LABEL_BYTES: usize = 63;
const MAX_NAME_BYTES: usize = 255;

/// Why an answer can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AnswerError {
    /// A field extends beyond the message's end.
    #[error("DNS message ends inside a field")]
    EndsEarly,
    /// A name is too long, not UTF-8, or a pointer in it does not lead backwards.
    #[error("malformed name in DNS message")]
    MalformedName,
    /// No query with this id waits for an answer.
    #[error("DNS answer with unexpected query id {0}")]
    UnexpectedId(u16),
    /// The message is a query, is marked as truncated, or reports an error.
    #[error("not a complete DNS answer without error: flags {0:#06x}")]
    Flags(u16),
    /// Bytes follow the records that the header counts.
    #[error("DNS message continues after the last record that its header counts")]
    TrailingBytes,
    /// There is no SOA record, whose serial is the version of the list.
    #[error("DNS answer has no SOA record with the zone's serial")]
    SerialMissing,
    /// A host of the list has no A record or no TXT record.
    #[error("host in DNS answer has no A record or no TXT record")]
    IncompleteHost,
}

/// One host of an answer.
pub struct Host<'a> {
    /// The first label of the host's name.
    pub name: &'a str,
    /// The second label of the host's name: the availability zone.
    pub zone: &'a str,
    /// The priority in its SRV record.
    pub priority: u16,
    /// The port in its SRV record.
    pub port: u16,
    /// The address in its A record.
    pub address: Ipv4Addr,
    records: &'a [Record],
    message: Message<'a>,
}

impl<'a> Host<'a> {
    /// The value of the attribute `name=value` in the host's TXT records (RFC 1464).
    pub fn attribute(&self, name: &str) -> Option<&'a str> {
        let mut text_records = self
            .records
            .iter()
            .filter(|record| record.record_type == TYPE_TXT);
        text_records.find_map(|record| {
            let mut rest = self.message.0.get(record.data.clone())?;
            while let Some((&length, strings)) = rest.split_first() {
                let (text, next) = strings.split_at_checked(length as usize)?;
                let value = text.strip_prefix(name.as_bytes());
                if let Some(value) = value.and_then(|text| text.strip_prefix(b"=")) {
                    return std::str::from_utf8(value).ok();
                }
                rest = next;
            }
            None
        })
    }
}

/// Appends the query for the SRV records of `name`. Empty labels and labels that are too long are omitted.
pub fn write_query(output: &mut Vec<u8>, id: u16, name: &str) {
    output.extend(id.to_be_bytes());
    // No flags, one question and one additional record, which states the maximum length of an answer.
    output.extend([0, 0, 0, 1, 0, 0, 0, 0, 0, 1]);
    let fits = |label: &&str| (1..=MAX_LABEL_BYTES).contains(&label.len());
    for label in name.split('.').filter(fits) {
        output.push(label.len() as u8);
        output.extend(label.as_bytes());
    }
    output.push(0);
    output.extend(TYPE_SRV.to_be_bytes());
    output.extend(CLASS_IN.to_be_bytes());
    output.push(0);
    output.extend(TYPE_OPT.to_be_bytes());
    output.extend((MAX_ANSWER_BYTES as u16).to_be_bytes());
    output.extend([0; 6]);
}

/// Reads an answer, calls `on_host` for each host and returns the zone's serial.
///
/// `is_expected` returns whether a query with this id waits for its answer.
///
/// # Errors
/// Fails if the message is not a complete answer to such a query. The hosts passed to `on_host` until then must be
/// discarded: the engines missing from a truncated list would be taken for gone.
pub fn read_answer(
    message: &[u8],
    is_expected: impl FnOnce(u16) -> bool,
    mut on_host: impl FnMut(Host),
) -> Result<u32, AnswerError> {
    let message = Message(message);
    message.check_header(is_expected)?;
    let mut records = message.records()?;
    let serial = message.serial(&records)?;
    // Sorted by owner, so that each host's records are found without a scan of the whole list.
    records.sort_by(|left, right| left.owner.cmp(&right.owner));
    let is_service =
        |record: &&Record| record.record_type == TYPE_SRV && record.data.len() > SRV_FIXED_BYTES;
    for service in records.iter().filter(is_service) {
        let start = service.data.start;
        let (target, _) = message.name_at(start + SRV_FIXED_BYTES)?;
        let own_records = records_of(&records, &target);
        let mut labels = target.split('.');
        on_host(Host {
            name: labels.next().ok_or(AnswerError::MalformedName)?,
            zone: labels.next().unwrap_or_default(),
            priority: message.u16_at(start)?,
            port: message.u16_at(start + 4)?,
            address: message.address(own_records)?,
            records: own_records,
            message,
        });
    }
    Ok(serial)
}

/// The records of one owner, of records that are sorted by owner.
fn records_of<'a>(sorted: &'a [Record], owner: &str) -> &'a [Record] {
    let start = sorted.partition_point(|record| record.owner.as_str() < owner);
    let from_owner = &sorted[start..];
    let count = from_owner.partition_point(|record| record.owner == owner);
    &from_owner[..count]
}

struct Record {
    /// The name that the record belongs to, in lower case.
    owner: String,
    record_type: u16,
    /// The range of its data in the message.
    data: Range<usize>,
}

#[derive(Clone, Copy)]
struct Message<'a>(&'a [u8]);

impl Message<'_> {
    fn bytes_at<const LENGTH: usize>(&self, position: usize) -> Result<[u8; LENGTH], AnswerError> {
        let bytes = self.0.get(position..position + LENGTH);
        let bytes = bytes.and_then(|bytes| bytes.try_into().ok());
        bytes.ok_or(AnswerError::EndsEarly)
    }

    fn u16_at(&self, position: usize) -> Result<u16, AnswerError> {
        Ok(u16::from_be_bytes(self.bytes_at(position)?))
    }

    fn u32_at(&self, position: usize) -> Result<u32, AnswerError> {
        Ok(u32::from_be_bytes(self.bytes_at(position)?))
    }

    fn check_header(&self, is_expected: impl FnOnce(u16) -> bool) -> Result<(), AnswerError> {
        let id = self.u16_at(0)?;
        let flags = self.u16_at(2)?;
        if !is_expected(id) {
            return Err(AnswerError::UnexpectedId(id));
        }
        let is_response = flags & FLAG_RESPONSE != 0;
        if !is_response || flags & (FLAG_TRUNCATED | RESPONSE_CODE_MASK) != 0 {
            return Err(AnswerError::Flags(flags));
        }
        Ok(())
    }

    /// Reads a name in lower case, with its labels separated by dots. Returns it with the position after it.
    ///
    /// Each pointer must lead further back than the previous one; otherwise a message could cause an endless loop.
    fn name_at(&self, start: usize) -> Result<(String, usize), AnswerError> {
        let mut name = String::new();
        let mut position = start;
        let mut lowest_target = start;
        let mut end = None;
        loop {
            let length = self.bytes_at::<1>(position)?[0] as usize;
            match length {
                0 => return Ok((name, end.unwrap_or(position + 1))),
                1..=MAX_LABEL_BYTES => {
                    self.append_label(position + 1..position + 1 + length, &mut name)?;
                    position += 1 + length;
                }
                // The two highest bits mark a pointer to the rest of the name.
                192.. => {
                    end = end.or(Some(position + 2));
                    position = (self.u16_at(position)? & POINTER_MASK) as usize;
                    if position >= lowest_target {
                        return Err(AnswerError::MalformedName);
                    }
                    lowest_target = position;
                }
                _ => return Err(AnswerError::MalformedName),
            }
        }
    }

    fn append_label(&self, label: Range<usize>, name: &mut String) -> Result<(), AnswerError> {
        let label = self.0.get(label).ok_or(AnswerError::EndsEarly)?;
        let label = std::str::from_utf8(label).map_err(|_| AnswerError::MalformedName)?;
        if !name.is_empty() {
            name.push('.');
        }
        name.extend(label.chars().map(|letter| letter.to_ascii_lowercase()));
        if name.len() > MAX_NAME_BYTES {
            return Err(AnswerError::MalformedName);
        }
        Ok(())
    }

    /// Reads the records of all three sections.
    fn records(&self) -> Result<Vec<Record>, AnswerError> {
        let mut position = HEADER_BYTES;
        for _ in 0..self.u16_at(4)? {
            let (_, name_end) = self.name_at(position)?;
            position = name_end + QUESTION_FIXED_BYTES;
        }
        let answers = self.u16_at(6)? as u32;
        let authorities = self.u16_at(8)? as u32;
        let additional = self.u16_at(10)? as u32;
        let mut records = Vec::new();
        for _ in 0..answers + authorities + additional {
            let record = self.record_at(position)?;
            position = record.data.end;
            records.push(record);
        }
        if position != self.0.len() {
            return Err(AnswerError::TrailingBytes);
        }
        Ok(records)
    }

    fn record_at(&self, position: usize) -> Result<Record, AnswerError> {
        let (owner, name_end) = self.name_at(position)?;
        let record_type = self.u16_at(name_end)?;
        let data_length = self.u16_at(name_end + 8)? as usize;
        let data_start = name_end + RECORD_FIXED_BYTES;
        let data = data_start..data_start + data_length;
        if self.0.get(data.clone()).is_none() {
            return Err(AnswerError::EndsEarly);
        }
        Ok(Record {
            owner,
            record_type,
            data,
        })
    }

    /// The serial in the zone's SOA record, after the names of its server and its contact.
    fn serial(&self, records: &[Record]) -> Result<u32, AnswerError> {
        let mut soa_records = records
            .iter()
            .filter(|record| record.record_type == TYPE_SOA);
        let soa = soa_records.next().ok_or(AnswerError::SerialMissing)?;
        let (_, server_end) = self.name_at(soa.data.start)?;
        let (_, contact_end) = self.name_at(server_end)?;
        self.u32_at(contact_end)
    }

    /// The address of a host. Fails unless the host also has a TXT record: without it, the host would have no machine
    /// type.
    fn address(&self, records: &[Record]) -> Result<Ipv4Addr, AnswerError> {
        let is_address = |record: &&Record| {
            record.record_type == TYPE_A && record.data.len() == size_of::<u32>()
        };
        let address = records.iter().find(is_address);
        let has_text = records.iter().any(|record| record.record_type == TYPE_TXT);
        match address {
            Some(record) if has_text => Ok(Ipv4Addr::from(self.u32_at(record.data.start)?)),
            _ => Err(AnswerError::IncompleteHost),
        }
    }
}
