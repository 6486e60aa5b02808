#ifndef EBONY_CODEC_SITE_CODEC_H_
#define EBONY_CODEC_SITE_CODEC_H_

#include <cstdint>
#include <functional>

#include "core/backend_numbers.h"
#include "core/backend_registry.h"
#include "schema/site.pb.h"

namespace ebony {

// `now` turns the time of the last announcement into an age, and back.
auto ToSchema(const backend_record& record, mono_time now)
    -> schema::backend_status_row;
auto ToDomain(const schema::backend_status_row& row, mono_time now)
    -> backend_record;

// Work under way at one backend server: requests, and the tokens they cost.
using load_row_callback =
    std::function<void(const backend_name&, std::uint32_t, std::uint64_t)>;

auto AddLoad(schema::backend_loads& rows,
             std::uint32_t number,
             std::uint32_t requests,
             std::uint64_t tokens) -> void;
// Calls the hook for each row whose number stands for a server.
auto ForEachLoad(const schema::backend_loads& rows,
                 const backend_numbers& numbers,
                 const load_row_callback& hook) -> void;

}  // namespace ebony

#endif  // EBONY_CODEC_SITE_CODEC_H_
