/**
 * @file key_file.c
 * @brief Reads callers' keys from files.
 */
#include "intent/key_file.h"

#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

enum {
    PATH_BYTES = 4096,
    /* A quarter of the default limit for the head of a request: enough for any key that a caller can send. */
    KEY_BYTES = 4096
};

static const char blanks[] = " \t\r\n";

static bool full_path(char *full, size_t size, const char *path, const char *beside)
{
    const char *slash = strrchr(beside, '/');
    int         folder = path[0] == '/' || slash == NULL ? 0 : (int)(slash - beside + 1);
    int         length = snprintf(full, size, "%.*s%s", folder, beside, path);

    return length > 0 && (size_t)length < size;
}

/* Reads a file and returns its length, at most `size`; -1 if it cannot be read or is not a regular file: reading from a
 * pipe might never end. */
static ssize_t read_whole(const char *path, char *text, size_t size)
{
    struct stat state;
    ssize_t     length = 0;
    ssize_t     count = -1;
    int         file = open(path, O_RDONLY | O_CLOEXEC | O_NONBLOCK);

    if (file < 0) {
        return -1;
    }
    if (fstat(file, &state) == 0 && S_ISREG(state.st_mode)) {
        do {
            count = read(file, text + length, size - (size_t)length);
            length += count > 0 ? count : 0;
        } while (count > 0 && (size_t)length < size);
    }
    close(file);
    return count < 0 ? -1 : length;
}

/* Computes the digest of the key, without the blanks around it. A key is accepted if a caller can send it
 * (tenancy/caller_identity.c). Returns NULL or a description of the error. */
static const char *digest_text(cw_key_digest_t *digest, char *text, size_t length)
{
    char *key;

    text[length] = '\0';
    if (strlen(text) != length) {
        return "holds a zero byte";
    }
    key = text + strspn(text, blanks);
    while (length > 0 && strchr(blanks, text[length - 1]) != NULL) {
        text[--length] = '\0';
    }
    if (*key == '\0') {
        return "holds no key";
    }
    if (strpbrk(key, " \t\r\n,") != NULL) {
        return "holds more than one key: there are blanks, commas or several lines";
    }
    cw_tenant_digest_of_key(digest, key);
    return NULL;
}

const char *cw_key_file_read(cw_key_digest_t *digest, const char *path, const char *beside)
{
    char        full[PATH_BYTES];
    char        text[KEY_BYTES + 1];
    const char *problem;
    ssize_t     length;

    if (!full_path(full, sizeof(full), path, beside)) {
        return "has too long a name";
    }
    length = read_whole(full, text, KEY_BYTES);
    if (length < 0) {
        problem = "cannot be read";
    } else if (length == KEY_BYTES) {
        problem = "is too long for a key";
    } else {
        problem = digest_text(digest, text, (size_t)length);
    }
    explicit_bzero(text, sizeof(text));
    return problem;
}
