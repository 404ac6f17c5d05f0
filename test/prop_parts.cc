/*
 * Properties of the quarantine of parts of prompts, for any fleet, load and
 * losses: what the poison part may still reach, and what becomes of the sound
 * requests that share its prompts' other parts.
 */
#include <rapidcheck.h>

#include "parts_world.h"

namespace
{

const int kMaxLater = 3;	  /* requests after the fifth crash */
const double kMinSoundShare = 0.5; /* of those served before */

parts_options fleet(bool losses)
{
	parts_options o;

	parts_defaults(&o);
	o.entries = *rc::gen::inRange(1, 40);
	o.endpoints = *rc::gen::inRange(4, 60);
	o.sound_per_s = *rc::gen::inRange(2, 6) * o.endpoints;
	o.poison_per_s = *rc::gen::inRange(1, 8);
	o.middles = *rc::gen::inRange(1, 100);
	o.documents = *rc::gen::inRange(1, 5000);
	o.poison_was_sound = *rc::gen::arbitrary<bool>();
	o.report_ms = *rc::gen::inRange(1, 20) * 10;
	o.length_ms = 45000;
	o.seed = *rc::gen::inRange<uint64_t>(1, 1ULL << 32);
	if (losses) {
		o.leader_loss_ms = *rc::gen::inRange(4000, 20000);
		o.power_loss_ms = *rc::gen::inRange(8000, 40000);
		o.jump_ms = *rc::gen::inRange(5000, 20000);
		o.kills_per_s = *rc::gen::inRange(0, 10) / 10.0;
	}
	return o;
}

} // namespace

int main()
{
	bool ok = true;

	ok &= rc::check("a poison part stops reaching endpoints for good", [] {
		parts_options o = fleet(true);
		parts_result r;

		parts_run(&o, &r);
		RC_ASSERT(r.after_fifth <= kMaxLater);
	});
	ok &= rc::check("requests with the same first part are served", [] {
		parts_options o = fleet(false);
		parts_result r;

		parts_run(&o, &r);
		RC_LOG() << o.entries << " entries, " << o.endpoints
			 << " endpoints, " << o.sound_per_s << " and "
			 << o.poison_per_s << " a second, " << o.middles
			 << " and " << o.documents << " parts, sound "
			 << o.poison_was_sound << ", report " << o.report_ms
			 << " ms, seed " << o.seed << ": " << r.sound_before
			 << ", " << r.sound_after << ", crashes "
			 << r.crashes << "\n";
		RC_ASSERT(r.sound_after >= kMinSoundShare * r.sound_before);
	});
	return ok ? 0 : 1;
}
