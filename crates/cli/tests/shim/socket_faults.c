/* A library that is preloaded into a node and injects faults into system calls. Three environment variables each name a
 * file:
 * SOCKET_ERRORS: while the file exists, every third call of accept4, socket and connect fails with an error that Linux
 * documents.
 * SHORT_TRANSFERS: while the file exists, reads and writes on streams transfer at most SHORT_LENGTH bytes each, and every
 * third read, write and wait is interrupted.
 * WALL_CLOCK: the file holds the offset of the wall clock in seconds. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define SHORT_LENGTH 48

#define COUNT(list) (sizeof(list) / sizeof((list)[0]))

static const int accept_errors[] = {ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, EINTR, EPROTO};
static const int socket_errors[] = {ENFILE, EMFILE, ENOBUFS, ENOMEM};
static const int connect_errors[] = {EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT, ECONNREFUSED, ENOBUFS};

/* Returns whether the file named by this environment variable exists. */
static int is_on(const char *variable) {
    int before = errno;
    const char *file = getenv(variable);
    int on = file != NULL && access(file, F_OK) == 0;
    errno = before;
    return on;
}

/* Returns the error with which this call fails, or 0 if it succeeds. */
static int fault(atomic_uint *calls, const int *errors, unsigned count) {
    if (!is_on("SOCKET_ERRORS")) {
        return 0;
    }
    unsigned call = atomic_fetch_add(calls, 1);
    return call % 3 == 0 ? errors[call / 3 % count] : 0;
}

static int is_stream(int fd) {
    int type = 0;
    socklen_t length = sizeof type;
    return getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &length) == 0 && type == SOCK_STREAM;
}

/* Returns whether this call is interrupted before it transfers anything, and sets errno if so. */
static int is_interrupted(atomic_uint *calls) {
    if (!is_on("SHORT_TRANSFERS") || atomic_fetch_add(calls, 1) % 3 != 0) {
        return 0;
    }
    errno = EINTR;
    return 1;
}

/* Returns the number of bytes that a read or write of this length may transfer. */
static size_t shortened(int fd, size_t length) {
    if (length <= SHORT_LENGTH || !is_on("SHORT_TRANSFERS") || !is_stream(fd)) {
        return length;
    }
    return SHORT_LENGTH;
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    static int (*real)(int, struct sockaddr *, socklen_t *, int);
    static atomic_uint calls;
    if (real == NULL) {
        real = dlsym(RTLD_NEXT, "accept4");
    }
    int error = fault(&calls, accept_errors, COUNT(accept_errors));
    if (error != 0) {
        errno = error;
        return -1;
    }
    return real(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    static int (*real)(int, int, int);
    static atomic_uint calls;
    if (real == NULL) {
        real = dlsym(RTLD_NEXT, "socket");
    }
    int error = fault(&calls, socket_errors, COUNT(socket_errors));
    if (error != 0) {
        errno = error;
        return -1;
    }
    return real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    static int (*real)(int, const struct sockaddr *, socklen_t);
    static atomic_uint calls;
    if (real == NULL) {
        real = dlsym(RTLD_NEXT, "connect");
    }
    int error = fault(&calls, connect_errors, COUNT(connect_errors));
    if (error != 0) {
        errno = error;
        return -1;
    }
    return real(fd, address, length);
}

ssize_t recv(int fd, void *bytes, size_t length, int flags) {
    static ssize_t (*real)(int, void *, size_t, int);
    static atomic_uint calls;
    if (real == NULL) {
        real = dlsym(RTLD_NEXT, "recv");
    }
    return is_interrupted(&calls) ? -1 : real(fd, bytes, shortened(fd, length), flags);
}

ssize_t send(int fd, const void *bytes, size_t length, int flags) {
    static ssize_t (*real)(int, const void *, size_t, int);
    static atomic_uint calls;
    if (real == NULL) {
        real = dlsym(RTLD_NEXT, "send");
    }
    return is_interrupted(&calls) ? -1 : real(fd, bytes, shortened(fd, length), flags);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    static ssize_t (*real)(int, const struct iovec *, int);
    static atomic_uint calls;
    if (real == NULL) {
        real = dlsym(RTLD_NEXT, "writev");
    }
    if (count < 1 || !is_on("SHORT_TRANSFERS") || !is_stream(fd)) {
        return real(fd, parts, count);
    }
    if (is_interrupted(&calls)) {
        return -1;
    }
    struct iovec first = {parts[0].iov_base, shortened(fd, parts[0].iov_len)};
    return real(fd, &first, 1);
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout) {
    static int (*real)(int, struct epoll_event *, int, int);
    static atomic_uint calls;
    if (real == NULL) {
        real = dlsym(RTLD_NEXT, "epoll_wait");
    }
    return is_interrupted(&calls) ? -1 : real(fd, events, max_events, timeout);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    static int (*real)(clockid_t, struct timespec *);
    if (real == NULL) {
        real = dlsym(RTLD_NEXT, "clock_gettime");
    }
    int result = real(clock, now);
    if (result != 0 || clock != CLOCK_REALTIME || !is_on("WALL_CLOCK")) {
        return result;
    }
    int before = errno;
    long ahead = 0;
    FILE *file = fopen(getenv("WALL_CLOCK"), "re");
    if (file != NULL) {
        if (fscanf(file, "%ld", &ahead) == 1) {
            now->tv_sec += ahead;
        }
        fclose(file);
    }
    errno = before;
    return result;
}
