//! Reads the fields of a frame, which are little-endian and without padding.

use crate::error::RecordError;

/// An engine's IPv4 address and port.
pub(crate) type EngineAddress = [u8; 6];

/// Reads fields one after the other. An error names the field and its offset.
pub(crate) struct FrameReader<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl<'a> FrameReader<'a> {
    pub(crate) fn new(bytes: &'a [u8]) -> Self {
        FrameReader { bytes, position: 0 }
    }

    pub(crate) fn position(&self) -> usize {
        self.position
    }

    pub(crate) fn remaining(&self) -> usize {
        self.bytes.len() - self.position
    }

    pub(crate) fn bytes(
        &mut self,
        count: usize,
        field: &'static str,
    ) -> Result<&'a [u8], RecordError> {
        let rest = &self.bytes[self.position..];
        let bytes = rest.get(..count).ok_or(RecordError::Truncated {
            field,
            expected: count,
            offset: self.position,
            remaining: rest.len(),
        })?;
        self.position += count;
        Ok(bytes)
    }

    pub(crate) fn array<const LENGTH: usize>(
        &mut self,
        field: &'static str,
    ) -> Result<[u8; LENGTH], RecordError> {
        let mut array = [0; LENGTH];
        array.copy_from_slice(self.bytes(LENGTH, field)?);
        Ok(array)
    }

    pub(crate) fn u8(&mut self, field: &'static str) -> Result<u8, RecordError> {
        Ok(u8::from_le_bytes(self.array(field)?))
    }

    pub(crate) fn u16(&mut self, field: &'static str) -> Result<u16, RecordError> {
        Ok(u16::from_le_bytes(self.array(field)?))
    }

    pub(crate) fn u32(&mut self, field: &'static str) -> Result<u32, RecordError> {
        Ok(u32::from_le_bytes(self.array(field)?))
    }

    pub(crate) fn u64(&mut self, field: &'static str) -> Result<u64, RecordError> {
        Ok(u64::from_le_bytes(self.array(field)?))
    }

    pub(crate) fn f32(&mut self, field: &'static str) -> Result<f64, RecordError> {
        Ok(f64::from(f32::from_le_bytes(self.array(field)?)))
    }

    pub(crate) fn engine(&mut self) -> Result<EngineAddress, RecordError> {
        self.array("engine")
    }

    /// Reads the number of values in a load report, and the values.
    pub(crate) fn load_report(&mut self) -> Result<Vec<f64>, RecordError> {
        let count = self.u8("report length")?;
        (0..count).map(|_| self.f32("report")).collect()
    }
}
