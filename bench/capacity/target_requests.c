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

void target_write_requests(target_writer_t *writer)
{
    write_gateway(writer);
}
