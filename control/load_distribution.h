#ifndef EBONY_CONTROL_LOAD_DISTRIBUTION_H_
#define EBONY_CONTROL_LOAD_DISTRIBUTION_H_

#include <cstddef>
#include <optional>
#include <vector>

namespace ebony {

// Estimates how the demand for models loads the servers that hold them, and
// what a further replica is worth. A load of 1 is what a server can do in the
// same time. Each model's demand goes to the least loaded of its holders first,
// as the gateways choose, so that a replica on a busy server is worth little.
// Servers and models are identified by their indices.
class load_distribution {
 public:
  // A new replica of `model` on `server`, in place of `victim` if there is one.
  struct replica_change {
    std::size_t model = 0;
    std::size_t server = 0;
    std::optional<std::size_t> victim;
  };
  // Work per unit of time, in loads of a server, that is lost or late.
  struct change_effect {
    double gain = 0;          // less of it once the replica serves
    double interim_loss = 0;  // more of it until then
  };

 private:
  std::vector<double> demand_;                     // by model
  std::vector<std::vector<std::size_t>> holders_;  // by model
  std::vector<std::vector<double>> shares_;        // by model, as in `holders_`
  std::vector<double> loads_;                      // by server

  // Adds the demand of `model` to `loads`, spread over `holders`. Writes the
  // share of each holder to `shares` unless it is null.
  auto Spread(double demand,
              const std::vector<std::size_t>& holders,
              std::vector<double>& loads,
              std::vector<double>* shares) const -> void;
  auto Withdraw(std::size_t model, std::vector<double>& loads) const -> void;
  auto ListServers(const replica_change& change) const
      -> std::vector<std::size_t>;

 public:
  // `demand` is the load that each model causes in total.
  load_distribution(std::vector<double> demand,
                    std::vector<std::vector<std::size_t>> holders,
                    std::size_t server_count);

  auto Evaluate(const replica_change& change) const -> change_effect;
  // Applies a change to the holders and their loads.
  auto Apply(const replica_change& change) -> void;
  // Returns the load at which a model is served: that of its least loaded
  // holder, or the load of a lost request if it has none.
  auto GetPressure(std::size_t model) const -> double;

  auto get_load(std::size_t server) const -> double { return loads_[server]; }
  auto get_demand(std::size_t model) const -> double { return demand_[model]; }
};

}  // namespace ebony

#endif  // EBONY_CONTROL_LOAD_DISTRIBUTION_H_
