//! What is compared.

/// A way of handling overload.
#[derive(Clone, Copy)]
pub(crate) struct Variant {
    pub(crate) name: &'static str,
    pub(crate) control: Control,
    /// Mechanisms that are switched off.
    pub(crate) disabled: Disabled,
    pub(crate) ablation: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Control {
    /// Endless queues and three retries a layer.
    Unlimited,
    /// A fixed limit with a first-in-first-out queue of the same length, and
    /// three retries a layer.
    FixedLimit,
    /// The decisions of this project.
    Policy,
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Disabled {
    Nothing,
    /// Entries do not shed at the source.
    SourceShedding,
    /// Guards do not learn of refusals further down.
    OnwardRefusals,
    /// Failing targets are not ejected.
    Ejection,
    /// Retries are not bounded by the ratio.
    RetryRatio,
    /// A backend server that starts is taken for warm.
    SlowStart,
}

impl Variant {
    pub(crate) fn all() -> Vec<Self> {
        let full_variant = |name, control| Self {
            name,
            control,
            disabled: Disabled::Nothing,
            ablation: false,
        };
        let ablated = |name, disabled| Self {
            name,
            control: Control::Policy,
            disabled,
            ablation: true,
        };
        vec![
            full_variant("none", Control::Unlimited),
            full_variant("fixed", Control::FixedLimit),
            full_variant("now", Control::Policy),
            ablated("now-early", Disabled::SourceShedding),
            ablated("now-chain", Disabled::OnwardRefusals),
            ablated("now-eject", Disabled::Ejection),
            ablated("now-ratio", Disabled::RetryRatio),
            ablated("now-slowstart", Disabled::SlowStart),
        ]
    }
}
