/*
 * Where the control group may be: a process that looks for the leader asks
 * the addresses of its settings and those it was told of, several at a time.
 *
 * No single source is enough. The settings name three addresses; those VMs
 * are replaced over time, and may all be relays, which know only what they
 * were told, or be down. What was told holds for the process's life only: all
 * may lose power at once. So members announce themselves to the addresses of
 * their settings, whoever asks one of these is told, and
 * remembers it beside its own settings.
 */
#ifndef SS_DISCOVERY_H
#define SS_DISCOVERY_H

#include <sapphireshift/base.h>

/* An address that was asked is left alone for so long, in ms: a VM that knows
 * of no leader tells those that wait as soon as it does. */
#define DISCOVERY_AGAIN_MS 300
/* One that is named as the leader is asked at once, but for those who name each
 * other in turn while they are behind: a few round trips. */
#define DISCOVERY_NAMED_MS 50
/* Addresses that are remembered beside the settings: twice the largest group
 * that is planned, with two relays for each of its members. */
#define DISCOVERY_KEPT 36

struct discovery;

/* settings: char *, may change at any time. */
struct discovery *discovery_new(const GPtrArray *settings, uint64_t seed);
void discovery_free(struct discovery *s);

/*
 * One who was asked, or announces itself, names the leader (empty: it knows
 * of none) and members. None of it is certain, as it may be behind: it is
 * only asked earlier, never believed instead of another.
 */
void discovery_told(struct discovery *s, struct ss_str leader,
		    struct ss_str member);

/*
 * The next address to ask, which counts as being asked until discovery_ended();
 * NULL where all are, or were a moment ago. Valid until the next call.
 */
const char *discovery_next(struct discovery *s, int64_t now);
void discovery_ended(struct discovery *s, const char *addr);

/* Addresses that were told (char *), to be told on. */
const GPtrArray *discovery_known(const struct discovery *s);

#endif
