#include "app/toml.h"

#include <cerrno>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <exception>
#include <string>
#include <toml++/toml.h>

struct rr_toml {
    toml::table root;
};

extern "C" rr_toml *rr_toml_load(const char *path, char *err, size_t size) {
    try {
        return new rr_toml{toml::parse_file(path)};
    } catch (const toml::parse_error &e) {
        const auto &at = e.source().begin;
        std::snprintf(err, size, "%s:%u: %s", path, static_cast<unsigned>(at.line),
                      std::string(e.description()).c_str());
    } catch (const std::exception &e) {
        std::snprintf(err, size, "%s: %s", path, e.what());
    }
    return nullptr;
}

extern "C" void rr_toml_destroy(rr_toml *t) {
    delete t;
}

extern "C" int rr_toml_text(const rr_toml *t, const char *path, char *out, size_t size) {
    const auto node = t->root.at_path(path);
    if (!node) {
        return -ENOENT;
    }
    const auto *s = node.as_string();
    if (!s || s->get().size() >= size || s->get().find('\0') != std::string::npos) {
        return -EINVAL;
    }
    std::memcpy(out, s->get().c_str(), s->get().size() + 1);
    return 0;
}

extern "C" int rr_toml_num(const rr_toml *t, const char *path, double *out) {
    const auto node = t->root.at_path(path);
    if (!node) {
        return -ENOENT;
    }
    if (!node.is_number()) {
        return -EINVAL;
    }
    const auto v = node.value<double>();
    if (!v || !std::isfinite(*v)) {
        return -EINVAL;
    }
    *out = *v;
    return 0;
}

extern "C" int rr_toml_table(const rr_toml *t, const char *path) {
    const auto node = t->root.at_path(path);
    return !node ? -ENOENT : node.is_table() ? 0 : -EINVAL;
}

extern "C" int rr_toml_count(const rr_toml *t, const char *path) {
    const auto node = t->root.at_path(path);
    if (!node) {
        return 0;
    }
    const auto *a = node.as_array();
    if (!a) {
        return -EINVAL;
    }
    for (const auto &e : *a) {
        if (!e.is_table()) {
            return -EINVAL;
        }
    }
    return static_cast<int>(a->size());
}
