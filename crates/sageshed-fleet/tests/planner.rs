//! Which engine is ordered what, by replaying what a leader sees.

mod support;

use std::collections;

use sageshed_fleet::{
    config, dialect,
    dialect::{Order, OrderResponse, Report, Task},
    directory, messages,
    planner::{Action, Planner, Policy},
};
use sageshed_types::time;

/// An engine as it really is, and the leader that orders it, with time in steps of 50 ms.
struct World {
    planner: Planner,
    config: config::FleetConfig,
    now: time::Instant,
    engines: collections::BTreeMap<String, Engine>,
    orders: Vec<(time::Instant, Order)>,
    /// Whether engines answer orders; they carry them out all the same.
    answers: bool,
    /// Orders that are lost on their way from now on.
    lost: usize,
}

struct Engine {
    instance: directory::Instance,
    accepted: u64,
    /// Weights on their way, with when they are there.
    loading: Option<(String, time::Instant)>,
    adapters: collections::BTreeSet<(String, String)>,
}

/// Prompt tokens that an engine of these tests reads in a second.
const ENGINE_TOKENS_PER_S: u64 = 19_000;

const STEP: time::Millis = time::Millis(50);

impl World {
    fn new(engines: &[(&str, &[&str])]) -> Self {
        let mut planner = Planner::new(Policy::default(), "10.0.0.1");
        let now = time::Instant(100_000);
        planner.start_leading(now, 4);
        let engines = engines.iter().map(|(id, models)| {
            let engine = Engine {
                instance: support::engine(id, models),
                accepted: 0,
                loading: None,
                adapters: collections::BTreeSet::new(),
            };
            ((*id).to_owned(), engine)
        });
        Self {
            planner,
            config: support::config(),
            now,
            engines: engines.collect(),
            orders: Vec::new(),
            answers: true,
            lost: 0,
        }
    }

    fn run(&mut self, span: u64) {
        let until = self.now + time::Millis(span);
        while self.now < until {
            self.now = self.now + STEP;
            self.finish_loads();
            let shown: Vec<_> = self
                .engines
                .values()
                .map(|it| it.instance.clone())
                .collect();
            let shown: Vec<_> = shown.iter().collect();
            let actions = self.planner.tick(self.now, &self.config, &shown);
            self.carry_out(actions);
        }
    }

    fn finish_loads(&mut self) {
        for engine in self.engines.values_mut() {
            let is_done = |it: &mut (String, time::Instant)| self.now >= it.1;
            if let Some((model, _)) = engine.loading.take_if(is_done) {
                engine.instance.models.push(support::resident(&model, &[]));
                engine.instance.sequence += 1;
            }
        }
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::AskReport { instance, .. } => {
                    let report = self.engines.get(&instance.name).map(Engine::report);
                    self.planner.handle_report(self.now, &instance, report);
                }
                Action::Order(order) => {
                    self.orders.push((self.now, order.clone()));
                    let answer = self.obey(&order);
                    let more = self.planner.handle_order_response(self.now, &order, answer);
                    self.carry_out(more);
                }
                Action::Amend { instance, task } => {
                    let engine = self
                        .engines
                        .get_mut(&instance.name)
                        .expect("a known engine");
                    engine.show(&task);
                }
            }
        }
    }

    fn obey(&mut self, order: &Order) -> Option<OrderResponse> {
        let now = self.now;
        if self.lost > 0 {
            self.lost -= 1;
            return None;
        }
        let engine = self
            .engines
            .get_mut(&order.instance.name)
            .expect("a known engine");
        if order.accepted_before != engine.accepted
            || engine.loading.is_some() && order.task.is_weights()
        {
            return Some(OrderResponse::Conflict);
        }
        engine.accepted += 1;
        match &order.task {
            Task::Load(model) => {
                engine.loading = Some((model.clone(), now + time::Millis(9_000)));
            }
            Task::Unload(model) => engine.instance.models.retain(|it| it.model != *model),
            Task::LoadAdapter(model, adapter) => {
                engine.adapters.insert((model.clone(), adapter.clone()));
            }
            Task::UnloadAdapter(model, adapter) => {
                engine.adapters.remove(&(model.clone(), adapter.clone()));
            }
        }
        engine.check();
        self.answers.then_some(match order.task {
            Task::UnloadAdapter(..) => OrderResponse::Done,
            _ => OrderResponse::Accepted,
        })
    }

    fn ask(&mut self, model: &str, tokens: u64) {
        let demand = messages::Demand {
            service: support::ENGINES.to_owned(),
            model: model.to_owned(),
            requests: 1,
            prefill_us: tokens * 1_000_000 / ENGINE_TOKENS_PER_S,
            output_tokens: 0,
            waiting: 0,
            adapters: Vec::new(),
        };
        self.planner.add_demand(self.now, &[demand]);
    }

    fn want(&mut self, adapter: &str) {
        let want = messages::AdapterReq {
            service: support::ENGINES.to_owned(),
            model: "m0".to_owned(),
            adapter: adapter.to_owned(),
            engine: None,
        };
        self.planner.request_adapter(self.now, want);
    }

    fn tasks(&self) -> Vec<String> {
        let task =
            |(_, order): &(time::Instant, Order)| format!("{} {}", order.instance, order.task);
        self.orders.iter().map(task).collect()
    }
}

impl Engine {
    /// An engine crashes that is told to load more than fits.
    fn check(&self) {
        let held = self.instance.models.len() + usize::from(self.loading.is_some());
        assert!(held <= 3, "weights of {held} models on room for three");
        let adapters = self.adapters.len();
        assert!(adapters <= 2, "{adapters} adapters on two places");
    }

    fn report(&self) -> Report {
        let mut models = self.instance.models.clone();
        for resident in &mut models {
            let own = self.adapters.iter().filter(|it| it.0 == resident.model);
            resident.adapters = own.map(|it| it.1.clone()).collect();
        }
        Report {
            born: self.instance.id.born,
            accepted: self.accepted,
            is_busy: self.loading.is_some(),
            models,
            adapters_pending: Vec::new(),
        }
    }

    fn show(&mut self, task: &Task) {
        if let Task::UnloadAdapter(model, adapter) = task {
            let shown = self.instance.models.iter_mut();
            for resident in shown.filter(|it| it.model == *model) {
                resident.adapters.retain(|it| it != adapter);
            }
        }
        if let Task::LoadAdapter(model, adapter) = task {
            let shown = self
                .instance
                .models
                .iter_mut()
                .find(|it| it.model == *model);
            shown
                .expect("it holds the model")
                .adapters
                .push(adapter.clone());
        }
    }

    /// An announcement that was made before the latest adapters arrived.
    fn announce_old(&mut self) {
        self.instance.sequence += 1;
        for resident in &mut self.instance.models {
            resident.adapters.clear();
        }
    }
}

/// A leader was cut off and another is elected. The old one may have given orders until its lease ran
/// out, so the new one waits for that long before its first.
#[test]
fn a_new_leader_orders_nothing_within_the_lease_of_the_one_before() {
    let mut world = World::new(&[("e1", &["m0"])]);
    let elected = world.now;
    world.run(10_000);
    let (first, _) = world.orders.first().expect("it orders in the end");
    assert!(first.since(elected) > Policy::default().lease, "{first:?}");
}

/// The adapters of a model are asked for one after the other. An announcement that was made before
/// the first arrived takes it out of the directory again. The engine has two places: a third adapter
/// on top of two crashes it with all that it runs.
#[test]
fn adapters_that_an_old_announcement_hides_still_take_their_places() {
    let mut world = World::new(&[("e1", &["m0", "m1", "m2"])]);
    world.run(4_000);
    for adapter in ["a1", "a2", "a3", "a4"] {
        world.want(adapter);
        world.run(50);
        world.engines.get_mut("e1").expect("there").announce_old();
        world.run(2_000);
    }
    let loads = world
        .tasks()
        .iter()
        .filter(|it| it.contains("load m0/"))
        .count();
    assert!(loads >= 4, "{:?}", world.tasks());
}

/// A request waits for an adapter. It is loaded where the model is, and shown to entry processes when
/// it had the time to arrive.
#[test]
fn an_adapter_is_loaded_once_for_all_who_wait_for_it() {
    let mut world = World::new(&[("e1", &["m0", "m1", "m2"]), ("e2", &["m1", "m3"])]);
    world.run(4_000);
    let before = world.orders.len();
    world.want("a1");
    world.run(50);
    world.want("a1");
    world.run(200);
    let new: Vec<_> = world.tasks().split_off(before);
    assert_eq!(new, ["e1 load m0/a1"]);
    assert!(world.engines["e1"].instance.holds("m0", Some("a1")));
}

/// Demand moves to a model with one copy. The others have copies to spare, the engines have no room:
/// a copy is given up and the model loaded in its place, without ever more on an engine than fits.
#[test]
fn a_model_with_more_work_than_its_copy_bears_gets_another() {
    let mut world = World::new(&[
        ("e1", &["m0", "m1", "m2"]),
        ("e2", &["m0", "m1", "m2"]),
        ("e3", &["m0", "m1", "m3"]),
    ]);
    for _ in 0..400 {
        world.ask("m3", 1_000);
        world.run(50);
    }
    let holders = world.engines.values();
    let copies = holders.filter(|it| it.instance.holds("m3", None)).count();
    assert!(copies >= 2, "{:?}", world.tasks());
    for model in ["m0", "m1", "m2", "m3"] {
        let held = world
            .engines
            .values()
            .any(|it| it.instance.holds(model, None));
        assert!(held, "no copy of {model} is left: {:?}", world.tasks());
    }
}

/// An engine is told to drop a model, and announces it until the requests that run there are done.
/// Shown to entry processes, they would send it requests for the model, and it would reject each.
#[test]
fn a_model_on_its_way_out_is_hidden_though_its_engine_announces_it() {
    let mut world = World::new(&[
        ("e1", &["m0", "m1", "m2"]),
        ("e2", &["m0", "m1", "m2"]),
        ("e3", &["m0", "m1", "m3"]),
    ]);
    let is_unload = |(_, order): &(time::Instant, Order)| matches!(order.task, Task::Unload(_));
    while !world.orders.iter().any(is_unload) {
        world.ask("m3", 1_000);
        world.run(50);
    }
    let (_, order) = world
        .orders
        .iter()
        .find(|it| is_unload(it))
        .cloned()
        .expect("an unload");
    let model = order.task.model().to_owned();
    let mut announced = world.engines[&order.instance.name].instance.clone();
    announced.models.push(support::resident(&model, &[]));
    world.now = world.now + STEP;
    let actions = world.planner.tick(world.now, &world.config, &[&announced]);
    let hidden = Action::Amend {
        instance: order.instance,
        task: order.task,
    };
    assert!(actions.contains(&hidden), "{actions:?}");
}

/// All callers ask for a model that no engine holds; two copies bear its work. Room is made for two, out of spare
/// copies. Were it not counted as made for that model, each engine would drop something in the same
/// moment, and what was dropped would be loaded again by the store that the model needs.
#[test]
fn room_is_made_for_as_many_copies_as_are_needed() {
    let mut world = World::new(&[
        ("e1", &["m0", "m1", "m2"]),
        ("e2", &["m0", "m1", "m2"]),
        ("e3", &["m0", "m1", "m2"]),
        ("e4", &["m0", "m1", "m2"]),
    ]);
    world.run(4_000);
    for _ in 0..400 {
        world.ask("m3", 1_400);
        world.run(50);
    }
    let unloads = world
        .tasks()
        .iter()
        .filter(|it| it.contains("unload"))
        .count();
    assert_eq!(unloads, 2, "{:?}", world.tasks());
    let holders = world.engines.values();
    let copies = holders.filter(|it| it.instance.holds("m3", None)).count();
    assert_eq!(copies, 2, "{:?}", world.tasks());
}

/// Prompts of a rare model come singly, and each keeps an engine busy for a second. One of them is no
/// rise of demand: a copy loaded for it would take the room of a busy model.
#[test]
fn a_single_prompt_is_no_rise_of_demand() {
    let mut world = World::new(&[("e1", &["m0", "m1"]), ("e2", &["m2", "m3"])]);
    world.run(4_000);
    world.ask("m1", ENGINE_TOKENS_PER_S);
    world.run(4_000);
    assert_eq!(world.tasks(), Vec::<String>::new());
    for _ in 0..16 {
        world.ask("m1", ENGINE_TOKENS_PER_S / 10);
        world.run(50);
    }
    assert_eq!(world.tasks(), ["e2 load m1"], "sixteen in a second are one");
}

/// Callers ask for more than all engines can read, so each copy of each model has more work than it
/// should. One model has a single copy with four times the work of the copies of another. A copy of
/// that one must give way, or the callers of the first are turned away while others hardly wait.
#[test]
fn under_overload_a_copy_goes_where_it_has_most_work() {
    let mut world = World::new(&[
        ("e1", &["m0", "m1", "m2"]),
        ("e2", &["m0", "m1", "m2"]),
        ("e3", &["m0", "m1", "m3"]),
    ]);
    for _ in 0..400 {
        for (model, tokens) in [("m0", 900), ("m1", 900), ("m2", 900), ("m3", 2_000)] {
            world.ask(model, tokens);
        }
        world.run(50);
    }
    let holders = world.engines.values();
    let copies = holders.filter(|it| it.instance.holds("m3", None)).count();
    assert!(copies >= 2, "{:?}", world.tasks());
    let moves = world.orders.len();
    assert!(moves <= 6, "copies go to and fro: {:?}", world.tasks());
}

/// Without demand nothing moves: each move costs the store and delays others.
#[test]
fn nothing_moves_without_demand() {
    let mut world = World::new(&[("e1", &["m0", "m1"]), ("e2", &["m2", "m3"])]);
    world.run(30_000);
    assert_eq!(world.tasks(), Vec::<String>::new());
}

/// A model without any copy is loaded before anybody asks for it: its first callers would wait for
/// the whole load.
#[test]
fn a_model_without_a_copy_is_loaded() {
    let mut world = World::new(&[("e1", &["m0", "m1"]), ("e2", &["m2"])]);
    world.run(20_000);
    assert_eq!(world.tasks(), ["e2 load m3"]);
}

/// One engine has room for one more model. Nobody asks for the model without a copy, and one with a
/// single copy has more work than that bears. Were the idle one loaded first, the engine would take
/// no other order for nine seconds.
#[test]
fn an_idle_model_without_a_copy_waits_for_one_that_is_short() {
    let mut world = World::new(&[("e1", &["m0", "m1", "m2"]), ("e2", &["m1", "m2"])]);
    for _ in 0..100 {
        world.ask("m0", 1_000);
        world.run(50);
    }
    assert_eq!(
        world.tasks().first().map(String::as_str),
        Some("e2 load m0")
    );
}

/// Five engines come back empty and could all load at once. The store begins one load a second; more
/// in five seconds would slow down every load in the fleet.
#[test]
fn loads_from_the_store_stay_inside_its_budget() {
    let engines: [(&str, &[&str]); 5] = [
        ("e1", &[]),
        ("e2", &[]),
        ("e3", &[]),
        ("e4", &[]),
        ("e5", &[]),
    ];
    let mut world = World::new(&engines);
    for _ in 0..1_200 {
        for model in ["m0", "m1", "m2", "m3"] {
            world.ask(model, 2_000);
        }
        world.run(50);
    }
    let loads: Vec<time::Instant> = world.orders.iter().map(|(at, _)| *at).collect();
    assert!(loads.len() >= 5, "{:?}", world.tasks());
    for from in &loads {
        let within = loads
            .iter()
            .filter(|at| **at >= *from && at.since(*from) < time::Millis(5_000));
        assert!(within.count() <= 5, "from {from:?}");
    }
}

/// The answer to a load is lost on its way, and the engine carries it out. The next order must not
/// count the memory as free.
#[test]
fn an_order_without_an_answer_counts_until_its_fate_is_known() {
    let mut world = World::new(&[("e1", &["m0", "m1"]), ("e2", &["m2"])]);
    world.answers = false;
    for _ in 0..400 {
        for model in ["m0", "m1", "m2", "m3"] {
            world.ask(model, 1_000);
        }
        world.run(50);
    }
    let tasks = world.tasks();
    assert!(tasks.iter().any(|it| it.ends_with("load m3")), "{tasks:?}");
}

/// An engine takes orders of one leader while another has just been elected. What it is busy with
/// shows in no account of the new one, so it gets no order until it is done.
#[test]
fn an_engine_that_is_busy_for_an_earlier_leader_gets_no_order() {
    let mut world = World::new(&[("e1", &["m0", "m1"])]);
    let until = world.now + time::Millis(9_000);
    let engine = world.engines.get_mut("e1").expect("there");
    engine.loading = Some(("m2".to_owned(), until));
    engine.accepted = 1;
    world.run(8_500);
    assert_eq!(world.tasks(), Vec::<String>::new());
    world.run(10_000);
    let tasks = world.tasks();
    assert!(
        tasks.len() <= 1,
        "m3 fits only where another goes: {tasks:?}"
    );
}

/// Whoever watches orders must see who gave them and behind which they stand.
#[test]
fn orders_name_their_holder_fence_and_what_came_before() {
    let mut world = World::new(&[("e1", &["m0", "m1"]), ("e2", &["m2"])]);
    world.engines.get_mut("e2").expect("there").accepted = 6;
    world.run(20_000);
    let (_, order) = world.orders.first().expect("m3 is loaded");
    assert_eq!(order.holder, "10.0.0.1");
    assert_eq!((order.fence, order.accepted_before), (4, 6));
    assert_eq!(dialect::Task::Load("m3".to_owned()), order.task);
}

/// The order for an adapter is lost on its way, and a request waits for it. It is given again behind
/// the same number, so that the first does nothing should it arrive after all, and not only when
/// nothing can come of the first any more.
#[test]
fn an_order_that_was_lost_is_given_again_behind_the_same_number() {
    let mut world = World::new(&[("e1", &["m0", "m1", "m2"]), ("e2", &["m1", "m3"])]);
    world.run(4_000);
    world.lost = 2;
    world.want("a1");
    world.run(1_000);
    let behind: Vec<u64> = world
        .orders
        .iter()
        .map(|(_, it)| it.accepted_before)
        .collect();
    assert_eq!(behind, [0, 0, 0], "{:?}", world.tasks());
    assert!(world.engines["e1"].instance.holds("m0", Some("a1")));
}

/// Engines are lost for good, and the only one left has places for three of four models. The one
/// without a copy is asked for. It must take the place of one that nobody asks for, or its callers are
/// turned away for ever.
#[test]
fn with_fewer_places_than_models_the_one_asked_for_takes_the_place_of_an_idle_one() {
    let mut world = World::new(&[("e1", &["m0", "m1", "m2"])]);
    world.run(4_000);
    assert_eq!(
        world.tasks(),
        Vec::<String>::new(),
        "nobody asks for anything yet"
    );
    for _ in 0..400 {
        world.ask("m0", 400);
        world.ask("m3", 100);
        world.run(50);
    }
    let engine = &world.engines["e1"].instance;
    assert!(engine.holds("m3", None), "{:?}", world.tasks());
    assert!(
        engine.holds("m0", None),
        "the busy one stays: {:?}",
        world.tasks()
    );
    let moves = world.orders.len();
    assert!(
        moves <= 3,
        "models take each other's place in turn: {:?}",
        world.tasks()
    );
}

/// A leader is cut off and another elected. The one before had two adapters loaded, and the engine's
/// announcements with them went to control processes on the other side. The new leader must learn of
/// them before it orders another: a third on two places crashes the engine.
#[test]
fn a_new_leader_counts_the_adapters_of_the_one_before() {
    let mut world = World::new(&[("e1", &["m0", "m1", "m2"])]);
    let engine = world.engines.get_mut("e1").expect("there");
    engine.accepted = 2;
    for adapter in ["a1", "a2"] {
        engine
            .adapters
            .insert(("m0".to_owned(), adapter.to_owned()));
    }
    world.run(3_000);
    world.want("a3");
    world.run(3_000);
    world.want("a3");
    world.run(2_000);
    let adapters = &world.engines["e1"].adapters;
    let wanted = ("m0".to_owned(), "a3".to_owned());
    assert!(adapters.contains(&wanted), "{:?}", world.tasks());
}

/// An engine that names a limit counts a leader's calls like requests, and no entry process knows of them. It is called
/// once a second at most, however much is wanted of it.
#[test]
fn an_engine_with_a_limit_is_called_once_a_second() {
    let mut world = World::new(&[("e1", &["m1"])]);
    world.run(5_000);
    let id = world.engines["e1"].instance.id.clone();
    let begun = world.now;
    for round in 0..40 {
        let want = messages::AdapterReq {
            service: "engines".to_owned(),
            model: "m1".to_owned(),
            adapter: format!("a{}", round % 4),
            engine: Some(id.clone()),
        };
        world.planner.request_adapter(world.now, want);
        let before = world.orders.len();
        world.run(100);
        if world.orders.len() > before {
            let notice = dialect::Notice {
                limit: Some(1.0),
                ..dialect::Notice::default()
            };
            world.planner.apply_notice(world.now, &id, notice);
        }
    }
    let seconds = world.now.since(begun).0 / 1_000;
    let orders = world.orders.iter().filter(|(at, _)| *at >= begun).count();
    assert!(orders > 0, "none");
    let most = usize::try_from(seconds).expect("few") + 1;
    assert!(orders <= most, "{orders} orders in {seconds} s");
}

/// An engine turns an order away and wants three seconds of rest. Nothing is asked of it meanwhile.
#[test]
fn an_engine_at_rest_is_not_called() {
    let mut world = World::new(&[("e1", &["m1"])]);
    world.run(5_000);
    let id = world.engines["e1"].instance.id.clone();
    let notice = dialect::Notice {
        retry_after: Some(time::Millis(3_000)),
        ..dialect::Notice::default()
    };
    world.planner.apply_notice(world.now, &id, notice);
    let (rests_until, before) = (world.now + time::Millis(3_000), world.orders.len());
    let want = messages::AdapterReq {
        service: "engines".to_owned(),
        model: "m1".to_owned(),
        adapter: "a1".to_owned(),
        engine: Some(id.clone()),
    };
    while world.orders.len() == before && world.now < rests_until + time::Millis(1_000) {
        // Requests that wait say so again and again.
        world.planner.request_adapter(world.now, want.clone());
        world.run(200);
    }
    let first = world.orders.get(before).map(|(at, _)| *at);
    assert!(first.is_some_and(|at| at >= rests_until), "{first:?}");
}

/// Guards against a leader that asks thousands of engines for their reports before it gives the one order that a
/// request waits for: at some two hundred questions a second that took longer than the request had.
#[test]
fn a_new_leader_asks_first_where_a_request_waits() {
    let mut planner = Planner::new(Policy::default(), "10.0.0.1");
    let now = time::Instant(100_000);
    planner.start_leading(now, 4);
    let names: Vec<String> = (0..2_000).map(|it| format!("e{it:04}")).collect();
    let engines: Vec<_> = names
        .iter()
        .map(|it| {
            let model = if it == "e1999" { "m3" } else { "m0" };
            support::engine(it, &[model])
        })
        .collect();
    let engines: Vec<_> = engines.iter().collect();
    let config = support::config();
    let now = now + time::Millis(10_000);
    planner.request_adapter(
        now,
        messages::AdapterReq {
            service: support::ENGINES.to_owned(),
            model: "m3".to_owned(),
            adapter: "a1".to_owned(),
            engine: None,
        },
    );
    let asked = asked_by(&planner.tick(now, &config, &engines));
    assert_eq!(asked.first().map(String::as_str), Some("e1999"));
    assert_eq!(asked.len(), Policy::default().max_report_requests);

    // Nobody else is asked until answers come.
    assert!(asked_by(&planner.tick(now + STEP, &config, &engines)).is_empty());
    let report = Report {
        models: vec![support::resident("m3", &[])],
        ..Report::default()
    };
    planner.handle_report(now + STEP, &"e1999".into(), Some(report));
    let actions = planner.tick(now + STEP, &config, &engines);
    let loads_adapter = |it: &Action| matches!(it, Action::Order(order) if matches!(&order.task, Task::LoadAdapter(..)));
    assert!(actions.iter().any(loads_adapter), "{actions:?}");
    assert_eq!(asked_by(&actions).len(), 1);
}

/// Guards against engines that give no report and take up the questions of all others.
#[test]
fn an_engine_that_gives_no_report_is_asked_ever_more_rarely() {
    let mut planner = Planner::new(Policy::default(), "10.0.0.1");
    let mut now = time::Instant(100_000);
    planner.start_leading(now, 4);
    let engine = support::engine("e1", &["m0"]);
    let config = support::config();
    now = now + Policy::default().lease;
    let mut asked = 0;
    for _ in 0..600 {
        now = now + STEP;
        for action in planner.tick(now, &config, &[&engine]) {
            if let Action::AskReport { instance, .. } = action {
                asked += 1;
                planner.handle_report(now, &instance, None);
            }
        }
    }
    assert!((4..=8).contains(&asked), "{asked} questions in 30 s");
}

fn asked_by(actions: &[Action]) -> Vec<String> {
    let asked = actions.iter().filter_map(|it| match it {
        Action::AskReport { instance, .. } => Some(instance.name.clone()),
        _ => None,
    });
    asked.collect()
}
