/* Common includes of the unit tests; cmocka needs the standard ones first. */
#ifndef SS_UNIT_H
#define SS_UNIT_H

#include <assert.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include <cmocka.h>
#include <sapphireshift/base.h>

#endif
