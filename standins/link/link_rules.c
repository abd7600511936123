/**
 * @file link_rules.c
 * @brief Keeps faults in a table that is searched linearly, since a test has only a few at once.
 */
#include "link_rules.h"

#include <stdio.h>
#include <string.h>

/* Knuth's constants for a linear congruential generator of 64 bits (MMIX); its high bits are used. */
static const uint64_t DRAW_FACTOR = 6364136223846793005u;
static const uint64_t DRAW_STEP = 1442695040888963407u;
static const unsigned DRAW_SHIFT = 33;

link_end_t *link_rules_add_end(link_rules_t *rules, const char *name, const char *group)
{
    link_end_t *end = &rules->ends[rules->end_count];

    if (rules->end_count == LINK_ENDS_MAX || strlen(name) >= LINK_NAME_MAX || strlen(group) >= LINK_NAME_MAX) {
        return NULL;
    }
    snprintf(end->name, sizeof(end->name), "%s", name);
    snprintf(end->group, sizeof(end->group), "%s", group);
    rules->end_count++;
    return end;
}

link_end_t *link_rules_find_end(link_rules_t *rules, const char *name)
{
    size_t position;

    for (position = 0; position < rules->end_count; position++) {
        if (strcmp(rules->ends[position].name, name) == 0) {
            return &rules->ends[position];
        }
    }
    return NULL;
}

bool link_end_matches(const link_end_t *end, const char *name)
{
    return strcmp(name, "all") == 0 || strcmp(name, end->name) == 0 || strcmp(name, end->group) == 0;
}

bool link_rules_has_match(const link_rules_t *rules, const char *name)
{
    size_t position;

    for (position = 0; position < rules->end_count; position++) {
        if (link_end_matches(&rules->ends[position], name)) {
            return true;
        }
    }
    return false;
}

bool link_rules_add(link_rules_t *rules, const link_rule_t *rule)
{
    if (rules->rule_count == LINK_RULES_MAX) {
        return false;
    }
    rules->rules[rules->rule_count] = *rule;
    rules->rule_count++;
    return true;
}

static bool applies(const link_rule_t *rule, const link_end_t *from, const link_end_t *to)
{
    if (link_end_matches(from, rule->from) && link_end_matches(to, rule->to)) {
        return true;
    }
    return rule->fault != LINK_CUT_ONE_WAY && link_end_matches(from, rule->to) && link_end_matches(to, rule->from);
}

uint32_t link_rules_value(const link_rules_t *rules, link_fault_t fault, const link_end_t *from, const link_end_t *to)
{
    uint32_t value = 0;
    size_t   position;

    for (position = 0; position < rules->rule_count; position++) {
        const link_rule_t *rule = &rules->rules[position];

        if (rule->fault == fault && applies(rule, from, to)) {
            value = rule->value;
        }
    }
    return value;
}

bool link_rules_is_cut(const link_rules_t *rules, const link_end_t *from, const link_end_t *to)
{
    return link_rules_value(rules, LINK_CUT, from, to) != 0 || link_rules_value(rules, LINK_CUT_ONE_WAY, from, to) != 0;
}

bool link_rules_draw(link_rules_t *rules, uint32_t percent)
{
    if (percent == 0) {
        return false;
    }
    rules->draw_state = rules->draw_state * DRAW_FACTOR + DRAW_STEP;
    return (rules->draw_state >> DRAW_SHIFT) % 100 < percent;
}
