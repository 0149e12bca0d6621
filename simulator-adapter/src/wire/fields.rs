//! Numbers of a frame, by their places.

/// Fixed-size fields of one record; every offset used lies inside it.
pub struct Fields<'a>(pub &'a [u8]);

impl Fields<'_> {
    pub fn bytes<const N: usize>(&self, at: usize) -> [u8; N] {
        let mut out = [0; N];
        out.copy_from_slice(&self.0[at..at + N]);
        out
    }
    pub fn u8(&self, at: usize) -> u8 {
        self.0[at]
    }
    pub fn u16(&self, at: usize) -> u16 {
        u16::from_le_bytes(self.bytes(at))
    }
    pub fn u32(&self, at: usize) -> u32 {
        u32::from_le_bytes(self.bytes(at))
    }
    pub fn u64(&self, at: usize) -> u64 {
        u64::from_le_bytes(self.bytes(at))
    }
    pub fn f32(&self, at: usize) -> f64 {
        f64::from(f32::from_le_bytes(self.bytes(at)))
    }
    pub fn f64(&self, at: usize) -> f64 {
        f64::from_le_bytes(self.bytes(at))
    }
}
