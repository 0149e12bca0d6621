//! Reads little-endian numbers at fixed offsets.

/// The bytes of a header, a record or an endpoint. Callers read only at offsets within these bytes.
pub(crate) struct Fields<'a>(pub &'a [u8]);

impl Fields<'_> {
    fn bytes<const LENGTH: usize>(&self, offset: usize) -> [u8; LENGTH] {
        let mut bytes = [0; LENGTH];
        bytes.copy_from_slice(&self.0[offset..offset + LENGTH]);
        bytes
    }

    pub(crate) fn u8(&self, offset: usize) -> u8 {
        self.0[offset]
    }

    pub(crate) fn u16(&self, offset: usize) -> u16 {
        u16::from_le_bytes(self.bytes(offset))
    }

    pub(crate) fn u32(&self, offset: usize) -> u32 {
        u32::from_le_bytes(self.bytes(offset))
    }

    pub(crate) fn u64(&self, offset: usize) -> u64 {
        u64::from_le_bytes(self.bytes(offset))
    }

    pub(crate) fn f32(&self, offset: usize) -> f32 {
        f32::from_le_bytes(self.bytes(offset))
    }

    pub(crate) fn f64(&self, offset: usize) -> f64 {
        f64::from_le_bytes(self.bytes(offset))
    }
}
