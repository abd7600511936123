/**
 * @file fuzz_yaml.c
 * @brief Fuzzes the parsers of settings and intents. The first byte of an input selects one of them.
 */
#include <stdint.h>

#include "config/router_settings.h"
#include "intent/plan.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    cw_findings_t findings;

    if (size < 1) {
        return 0;
    }
    cw_findings_init(&findings);
    if (data[0] % 2 == 0) {
        cw_router_settings_t settings;

        (void)cw_router_settings_parse(&settings, (const char *)data + 1, size - 1, "fuzz", &findings);
    } else {
        cw_intent_t intent;
        cw_plan_t   plan;

        if (cw_intent_parse(&intent, (const char *)data + 1, size - 1, "fuzz", NULL, &findings) == 0) {
            (void)cw_plan_make(&plan, &intent, NULL, 1, "fuzz", &findings);
            cw_plan_clear(&plan);
        }
        cw_intent_clear(&intent);
    }
    cw_findings_clear(&findings);
    return 0;
}
