//! Retries of one service as a share of its calls.

/// What one retry costs, in hundredths of a retry.
const COST: u32 = 100;

/// How retries of a service are earned, in hundredths of a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RatioSettings {
    /// What one call earns, however it ends.
    pub asked: u32,
    /// What one call that is answered earns.
    pub answered: u32,
    /// Most that can be saved up.
    pub saved: u32,
    /// What there is at first.
    pub first: u32,
}

impl RatioSettings {
    /// A tenth of the calls that are answered, ten saved up at most: when few
    /// calls are answered, few are retried.
    pub const ANSWERED: Self = Self {
        asked: 0,
        answered: 10,
        saved: 1000,
        first: 1000,
    };

    /// Three in twenty of all calls, nothing at first and one and a half
    /// saved up: for estates that allow a fifth of the calls of a service to
    /// be repeats, over all daemons and in any few seconds. The rest is for
    /// calls made by calls that were themselves repeats.
    pub const ASKED: Self = Self {
        asked: 15,
        answered: 0,
        saved: 150,
        first: 0,
    };
}

/// A token bucket that calls fill and retries empty.
///
/// It keeps retries from sustaining an overload.
#[derive(Clone, Copy, Debug)]
pub struct Ratio {
    settings: RatioSettings,
    left: u32,
}

impl Default for Ratio {
    fn default() -> Self {
        Self::new(RatioSettings::ANSWERED)
    }
}

impl Ratio {
    /// Makes a bucket.
    pub fn new(settings: RatioSettings) -> Self {
        Self {
            settings,
            left: settings.first,
        }
    }

    /// Takes note of a call that is made for the first time.
    pub fn asked(&mut self) {
        self.earn(self.settings.asked);
    }

    /// Takes note of a call that was answered.
    pub fn answered(&mut self) {
        self.earn(self.settings.answered);
    }

    /// Takes one retry out, if there is one.
    pub fn take(&mut self) -> bool {
        if self.left < COST {
            return false;
        }
        self.left -= COST;
        true
    }

    fn earn(&mut self, hundredths: u32) {
        self.left = (self.left + hundredths).min(self.settings.saved);
    }
}
