/**
 * @file fuzz_yaml.c
 * @brief Fuzz target: intent files and settings. The first byte chooses.
 */
#include <string.h>

#include "cedarwinch/error.h"
#include "cedarwinch/intent.h"
#include "cedarwinch/settings.h"
#include "fuzz.h"

static void read_intent(const char *text, size_t length)
{
    cw_findings_t            findings;
    Cw__TenantConfiguration *tenant;
    char                    *json;

    cw_findings_init(&findings);
    tenant = cw_intent_read(text, length, "fuzz.yaml", &findings);
    CW_FUZZ_CHECK((tenant != NULL) == (findings.count == 0));
    if (tenant != NULL) {
        CW_FUZZ_CHECK(cw__tenant_configuration__get_packed_size(tenant) > 0);
        cw__tenant_configuration__free_unpacked(tenant, NULL);
    }
    json = cw_findings_to_json(&findings);
    free(json);
    cw_findings_clear(&findings);
}

/* A setting given as "key=value" is read as YAML of one key, whose value may be any text. */
static void read_setting(const char *text)
{
    cw_settings_t settings;
    cw_findings_t findings;

    cw_settings_default(&settings);
    cw_findings_init(&findings);
    (void)cw_settings_override(&settings, text, &findings);
    (void)cw_settings_check(&settings, "fuzz", &findings);
    cw_findings_clear(&findings);
    cw_settings_clear(&settings);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    char *text = malloc(size + 1);

    if (text == NULL || size == 0) {
        free(text);
        return 0;
    }
    memcpy(text, data + 1, size - 1);
    text[size - 1] = '\0';
    if (data[0] == 's') {
        read_setting(text);
    } else {
        read_intent(text, size - 1);
    }
    free(text);
    return 0;
}
