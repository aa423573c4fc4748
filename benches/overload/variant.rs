//! Variants of overload control that are compared.

/// A way of handling overload.
#[derive(Clone, Copy)]
pub(crate) struct Variant {
    pub(crate) name: &'static str,
    pub(crate) control: Control,
    /// The mechanism that is switched off.
    pub(crate) disabled: Disabled,
    pub(crate) ablation: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Control {
    /// Unlimited queues and three retries per layer.
    Unlimited,
    /// A fixed concurrency limit, a FIFO queue of the same length and three retries
    /// per layer.
    FixedLimit,
    /// The decisions in `policy`.
    Policy,
}

/// The mechanism that a variant switches off.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Disabled {
    Nothing,
    /// Entries don't shed calls at the source.
    SourceShedding,
    /// Guards don't learn of refusals of onward calls.
    OnwardRefusals,
    /// Failing targets aren't ejected.
    Ejection,
    /// Retries aren't bounded by the retry ratio.
    RetryRatio,
    /// A restarted backend server is treated as warm.
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
