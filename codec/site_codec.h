#ifndef EBONY_CODEC_SITE_CODEC_H_
#define EBONY_CODEC_SITE_CODEC_H_

#include "core/backend_registry.h"
#include "schema/site.pb.h"

namespace ebony {

// `now` turns the time of the last announcement into an age, and back.
auto ToSchema(const backend_record& record, mono_time now)
    -> schema::backend_status_row;
auto ToDomain(const schema::backend_status_row& row, mono_time now)
    -> backend_record;

}  // namespace ebony

#endif  // EBONY_CODEC_SITE_CODEC_H_
