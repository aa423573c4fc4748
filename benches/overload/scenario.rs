//! Scenarios: services, load and disturbances.

/// One service of the chain.
#[derive(Clone)]
pub(crate) struct ServiceSpec {
    pub(crate) servers: usize,
    pub(crate) slots: u32,
    /// Mean time of the service's own work, in milliseconds.
    pub(crate) work_ms: f64,
    /// Services that each call invokes, one after the other.
    pub(crate) dependencies: Vec<usize>,
}

/// One class of requests.
#[derive(Clone)]
pub(crate) struct ClassSpec {
    pub(crate) share: f64,
    pub(crate) protected: bool,
}

/// The disturbance, which lasts `DISTURBANCE_SECONDS` from `START_SECONDS`.
#[derive(Clone, Default)]
pub(crate) struct Disturbance {
    /// Factor on the request rate.
    pub(crate) demand_factor: f64,
    /// Factor on the work of the bottleneck service.
    pub(crate) slowdown: f64,
    /// Whether every third server restarts cold.
    pub(crate) cold_restarts: bool,
    /// Whether one server of each service is slower, and choices by reported load
    /// take the higher one.
    pub(crate) false_load: bool,
    /// Whether some connections between servers go silent.
    pub(crate) silent_links: bool,
    /// Whether the data centres are cut off from each other.
    pub(crate) partition: bool,
}

#[derive(Clone)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    pub(crate) services: Vec<ServiceSpec>,
    pub(crate) classes: Vec<ClassSpec>,
    /// Requests per second without disturbance.
    pub(crate) rate: f64,
    pub(crate) disturbance: Disturbance,
    pub(crate) deadline_ms: f64,
}

/// Duration before the disturbance.
pub(crate) const START_SECONDS: f64 = 3.0;
/// Duration of the disturbance.
pub(crate) const DISTURBANCE_SECONDS: f64 = 10.0;
/// Duration after the disturbance.
pub(crate) const AFTER_SECONDS: f64 = 7.0;
/// Maximum retries of one request over its whole call tree.
pub(crate) const MAX_RETRIES: u32 = 3;
/// Maximum retries of one request by its caller, without back-off.
pub(crate) const MAX_CALLER_RETRIES: u32 = 5;

impl Scenario {
    pub(crate) fn all() -> Vec<Self> {
        let undisturbed = || Disturbance {
            demand_factor: 1.0,
            slowdown: 1.0,
            ..Disturbance::default()
        };
        let with = |name, disturbance| Self::chain(name, disturbance);
        vec![
            with(
                "surge",
                Disturbance {
                    demand_factor: 10.0,
                    ..undisturbed()
                },
            ),
            with(
                "slow",
                Disturbance {
                    slowdown: 5.0,
                    ..undisturbed()
                },
            ),
            with(
                "both",
                Disturbance {
                    demand_factor: 10.0,
                    slowdown: 5.0,
                    ..undisturbed()
                },
            ),
            with(
                "cold",
                Disturbance {
                    demand_factor: 10.0,
                    cold_restarts: true,
                    ..undisturbed()
                },
            ),
            with(
                "mislead",
                Disturbance {
                    false_load: true,
                    demand_factor: 1.5,
                    ..undisturbed()
                },
            ),
            with(
                "silent",
                Disturbance {
                    silent_links: true,
                    ..undisturbed()
                },
            ),
            with(
                "cut",
                Disturbance {
                    partition: true,
                    ..undisturbed()
                },
            ),
            Self::deep(Disturbance {
                demand_factor: 5.0,
                ..undisturbed()
            }),
        ]
    }

    /// Returns a chain of four services, the last of which has the least capacity.
    fn chain(name: &'static str, disturbance: Disturbance) -> Self {
        let service = |servers, slots, work_ms, dependencies: &[usize]| ServiceSpec {
            servers,
            slots,
            work_ms,
            dependencies: dependencies.to_vec(),
        };
        Self {
            name,
            services: vec![
                service(4, 70, 2.0, &[1]),
                service(4, 75, 2.0, &[2]),
                service(4, 75, 2.0, &[3]),
                service(4, 10, 20.0, &[]),
            ],
            classes: Self::classes(),
            rate: 1200.0,
            disturbance,
            deadline_ms: 1000.0,
        }
    }

    /// Returns a chain of 29 services, each but the last of which also calls one leaf
    /// service.
    fn deep(disturbance: Disturbance) -> Self {
        const DEPTH: usize = 29;
        let mut services: Vec<ServiceSpec> = (0..DEPTH - 1)
            .map(|level| ServiceSpec {
                servers: 2,
                slots: 120,
                work_ms: 0.5,
                dependencies: vec![DEPTH, level + 1],
            })
            .collect();
        services.push(ServiceSpec {
            servers: 2,
            slots: 10,
            work_ms: 20.0,
            dependencies: vec![],
        });
        services.push(ServiceSpec {
            servers: 4,
            slots: 200,
            work_ms: 0.5,
            dependencies: vec![],
        });
        Self {
            name: "deep",
            services,
            classes: Self::classes(),
            rate: 300.0,
            disturbance,
            deadline_ms: 2000.0,
        }
    }

    fn classes() -> Vec<ClassSpec> {
        vec![
            ClassSpec {
                share: 0.02,
                protected: true,
            },
            ClassSpec {
                share: 0.10,
                protected: true,
            },
            ClassSpec {
                share: 0.38,
                protected: false,
            },
            ClassSpec {
                share: 0.50,
                protected: false,
            },
        ]
    }

    /// Returns the service with the least capacity, the last of the chain.
    pub(crate) fn bottleneck(&self) -> usize {
        self.services
            .iter()
            .position(|s| s.work_ms >= 20.0)
            .unwrap_or(0)
    }
}
