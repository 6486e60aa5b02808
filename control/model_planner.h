#ifndef EBONY_CONTROL_MODEL_PLANNER_H_
#define EBONY_CONTROL_MODEL_PLANNER_H_

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "control/planner_round.h"
#include "core/site_config.h"

namespace ebony {

// Requests of one model or adapter that arrived since the last note.
struct demand_report {
  model_name model;
  adapter_name adapter;
  double requests = 0;
  double prompt_tokens = 0;
  bool is_unserved = false;  // a request found no server that holds it
};

struct model_planner_options {
  // Demand is smoothed over this time.
  duration demand_window = std::chrono::milliseconds(2000);
  // A model that was busy before may become busy again: it counts with this
  // part of its former load.
  double former_part = 0.05;
  duration former_half_life = std::chrono::seconds(20);
  // Models are planned this often; adapters at each call.
  duration model_interval = std::chrono::milliseconds(200);
  // What a request costs a server: reading its prompt, and the rest.
  double prefill_tokens_per_second = 25000;
  double request_seconds = 0.03;
  // Least gain, in squared server load, for which a copy is moved.
  double min_gain = 0.06;
  // Models and servers that are looked at in one round.
  std::size_t hottest_models = 6;
  std::size_t moves_per_round = 3;
  // An adapter that nobody asked for in this time may make way.
  duration adapter_idle = std::chrono::seconds(3);
  // Part of the weight store's rate that is used, and loads at once on top.
  double store_part = 0.85;
  double store_burst = 3;
};

// Decides which server loads or unloads which model or adapter. Every model of
// the catalogue keeps a copy; further copies go where they lower the sum of the
// squared loads of all servers most, so that no server gets far more than the
// others. Answers a load whose models change every few seconds while loads
// take seconds; without enough demand nothing moves.
class model_planner {
  using adapter_place = std::pair<model_name, adapter_name>;
  struct demand_rate {
    double load = 0;     // seconds of server time per second
    double former = 0;   // largest load, halved with time
    double arrived = 0;  // seconds of server time since the last step
  };
  struct adapter_want {
    mono_time asked;
    bool is_unserved = false;  // a request waits for it
  };
  // A copy that is on its way to a server, from the order that makes room.
  struct intent {
    model_name model;
    mono_time until;
  };
  // A copy of a model for a server, in place of `victim` where there is no
  // room. Servers and models as in the round.
  struct candidate_move {
    std::size_t server = 0;
    std::size_t model = 0;
    std::optional<std::size_t> victim;
    double gain = 0;
  };

  model_planner_options options_;
  std::map<model_name, demand_rate> demand_;
  std::map<adapter_place, adapter_want> adapters_;
  std::map<backend_name, intent> intents_;
  mono_time stepped_;
  mono_time models_planned_;
  double store_tokens_ = 0;

  auto Step(const engine_spec& engine, mono_time now) -> void;
  auto GetLoad(const model_name& model) const -> double;
  // Drops intents that came true or took too long, counts the others as copies
  // and carries out those whose server has room now.
  auto FollowIntents(planner_round& plan, mono_time now) -> void;
  auto PlanMissing(planner_round& plan, mono_time now) -> void;
  auto FindPlace(const planner_round& plan, std::size_t model) const
      -> std::optional<candidate_move>;
  // Returns the spare copy on a server that is asked for least.
  auto FindSpare(const planner_round& plan, std::size_t server) const
      -> std::optional<std::size_t>;
  auto PlanMoves(planner_round& plan, mono_time now) -> void;
  auto ListHottest(const planner_round& plan) const -> std::vector<std::size_t>;
  auto FindBestMove(const planner_round& plan) const
      -> std::optional<candidate_move>;
  // Returns what a move lowers the sum of the squared loads by, less its price.
  auto GetGain(const planner_round& plan, const candidate_move& move) const
      -> double;
  auto Carry(planner_round& plan, const candidate_move& move, mono_time now)
      -> void;
  auto PlanAdapters(planner_round& plan, mono_time now) -> void;
  auto PlanOneAdapter(planner_round& plan,
                      const adapter_place& wanted,
                      mono_time now) -> void;
  auto FindIdleAdapter(const backend_status& status, mono_time now) const
      -> std::optional<adapter_place>;

 public:
  explicit model_planner(model_planner_options options);

  auto AddDemand(const demand_report& note, mono_time now) -> void;
  // Starts anew with nothing known and no store loads in hand.
  auto Reset(mono_time now) -> void;
  // Returns the next orders, at most one for each server that is not busy.
  auto Plan(const engine_spec& engine,
            const std::vector<planner_server>& servers,
            mono_time now) -> std::vector<model_order>;
};

}  // namespace ebony

#endif  // EBONY_CONTROL_MODEL_PLANNER_H_
