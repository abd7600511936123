/**
 * @file target_requests.c
 * @brief Needs of the roles that carry requests.
 */
#include "target_internal.h"

static void write_gateway(target_writer_t *writer)
{
    double        time = target_slope(writer, "gateway.time");
    double        memory;
    double        in_flight = REQUESTS_PER_NODE * TARGET_REQUEST_S;
    target_line_t processor = {"gateway", "processor for requests, core only", .unit = "µs/s", .bound = 0};
    target_line_t held = {"gateway", "memory of requests in flight", .unit = "B", .bound = 0};
    target_line_t bytes = {"gateway", "network to and from forwarders", .unit = "B/s", .bound = 0};

    processor.value = REQUESTS_PER_NODE * time;
    snprintf(processor.arithmetic, sizeof(processor.arithmetic), "%.0f requests/s x %.2f µs", REQUESTS_PER_NODE, time);
    target_write_line(writer, &processor);
    memory = target_slope(writer, "gateway.memory");
    held.value = in_flight * memory;
    snprintf(held.arithmetic, sizeof(held.arithmetic), "%.0f requests/s x %.0f ms x %.0f B", REQUESTS_PER_NODE,
             1000 * TARGET_REQUEST_S, memory);
    target_write_line(writer, &held);
    bytes.value = REQUESTS_PER_NODE * target_slope(writer, "gateway.bytes");
    snprintf(bytes.arithmetic, sizeof(bytes.arithmetic), "%.0f requests/s x %.0f B (200 B asked, 1000 B answered)",
             REQUESTS_PER_NODE, target_slope(writer, "gateway.bytes"));
    target_write_line(writer, &bytes);
}

static void write_forwarder(target_writer_t *writer)
{
    double        repeatable = target_slope(writer, "forwarder.repeatable.time");
    double        journaled = target_slope(writer, "forwarder.journaled.time");
    double        journaled_rate = REQUESTS_PER_NODE * ASSUMED_NON_REPEATABLE;
    target_line_t processor = {"forwarder", "processor for requests, core only", .unit = "µs/s"};
    target_line_t held = {"forwarder", "memory of requests queued and running", .unit = "B"};
    target_line_t routes = {"forwarder", "processor for new versions of the table", .unit = "µs/s",
                            .bound = TARGET_CONTROL_US};

    processor.value = (REQUESTS_PER_NODE - journaled_rate) * repeatable + journaled_rate * journaled;
    target_explain(&processor, "%.0f/s x %.2f µs repeatable + %.0f/s x %.2f µs journaled",
                   REQUESTS_PER_NODE - journaled_rate, repeatable, journaled_rate, journaled);
    target_write_line(writer, &processor);
    held.value = REQUESTS_PER_NODE * TARGET_REQUEST_S * target_slope(writer, "forwarder.memory");
    target_explain(&held, "%.0f/s x %.0f ms x %.0f B", REQUESTS_PER_NODE, 1000 * TARGET_REQUEST_S,
                   target_slope(writer, "forwarder.memory"));
    target_write_line(writer, &held);
    /* measured with a third of the table's ranges as its own */
    routes.value = TABLE_CHANGES_PER_SECOND * 3 * RANGES_PER_NODE * target_slope(writer, "forwarder.routes.time");
    target_explain(&routes, "%.2f versions/s x %.0f own ranges x 3 x %.4f µs", TABLE_CHANGES_PER_SECOND,
                   RANGES_PER_NODE, target_slope(writer, "forwarder.routes.time"));
    target_write_line(writer, &routes);
}

static void write_journal(target_writer_t *writer)
{
    double        entries = REQUESTS_PER_NODE * ASSUMED_NON_REPEATABLE * ASSUMED_JOURNAL_REPLICAS;
    double        held = entries * ASSUMED_WINDOW_S;
    target_line_t processor = {"journal replica", "processor for starts and finishes", .unit = "µs/s"};
    target_line_t memory = {"journal replica", "memory of entries with answers of 1000 B", .unit = "B"};
    target_line_t network = {"journal replica", "network with forwarders", .unit = "B/s"};
    target_line_t seal = {"journal replica", "processor of one page of a seal", .unit = "µs"};

    processor.value = entries * target_slope(writer, "journal.time");
    target_explain(&processor, "%.0f entries/s x %.2f µs", entries, target_slope(writer, "journal.time"));
    target_write_line(writer, &processor);
    memory.value = held * target_slope(writer, "journal.memory");
    target_explain(&memory, "%.0f entries/s x %.0f s x %.0f B", entries, ASSUMED_WINDOW_S,
                   target_slope(writer, "journal.memory"));
    target_write_line(writer, &memory);
    network.value = entries * target_slope(writer, "forwarder.journaled.bytes") / ASSUMED_JOURNAL_REPLICAS;
    target_explain(&network, "%.0f entries/s x %.0f B", entries,
                   target_slope(writer, "forwarder.journaled.bytes") / ASSUMED_JOURNAL_REPLICAS);
    target_write_line(writer, &network);
    seal.value = target_at(writer, "journal.seal.time", held);
    target_explain(&seal, "%.0f entries x %.3f µs: each page walks over all entries", held,
                   target_slope(writer, "journal.seal.time"));
    target_write_line(writer, &seal);
}

void target_write_requests(target_writer_t *writer)
{
    write_gateway(writer);
    write_forwarder(writer);
    write_journal(writer);
}
