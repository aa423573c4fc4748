//! What is compared.

/// A way of handling overload.
#[derive(Clone, Copy)]
pub(crate) struct Variant {
    pub(crate) name: &'static str,
    pub(crate) control: Control,
    /// Mechanisms that are switched off.
    pub(crate) off: Off,
    pub(crate) ablation: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Control {
    /// Endless queues and three retries a layer.
    None,
    /// A fixed limit with a first-in-first-out queue of the same length, and
    /// three retries a layer.
    Fixed,
    /// The decisions of this project.
    Now,
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Off {
    Nothing,
    /// Entries do not shed at the source.
    Early,
    /// Guards do not learn of refusals further down.
    Chain,
    /// Failing targets are not ejected.
    Eject,
    /// Retries are not bounded by the ratio.
    Ratio,
    /// A backend server that starts is taken for warm.
    SlowStart,
}

impl Variant {
    pub(crate) fn all() -> Vec<Self> {
        let plain = |name, control| Self {
            name,
            control,
            off: Off::Nothing,
            ablation: false,
        };
        let without = |name, off| Self {
            name,
            control: Control::Now,
            off,
            ablation: true,
        };
        vec![
            plain("none", Control::None),
            plain("fixed", Control::Fixed),
            plain("now", Control::Now),
            without("now-early", Off::Early),
            without("now-chain", Off::Chain),
            without("now-eject", Off::Eject),
            without("now-ratio", Off::Ratio),
            without("now-slowstart", Off::SlowStart),
        ]
    }
}
