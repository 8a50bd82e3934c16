#include "app/toml.h"

#include <cerrno>
#include <cmath>
#include <cstring>
#include <exception>
#include <string>
#include <toml++/toml.h>

struct rr_toml_document {
    toml::table root; // the top-level table
};

extern "C" rr_toml_document *rr_toml_load(const char *file, GError **error) {
    try {
        return new rr_toml_document{toml::parse_file(file)};
    } catch (const toml::parse_error &failure) {
        const auto line = static_cast<unsigned>(failure.source().begin.line);
        const std::string reason(failure.description());
        if (line > 0) {
            g_set_error(error, RR_SETTINGS_ERROR, RR_SETTINGS_ERROR_SYNTAX, "%s:%u: %s", file, line,
                        reason.c_str());
        } else {
            g_set_error(error, RR_SETTINGS_ERROR, RR_SETTINGS_ERROR_UNREADABLE, "%s: %s", file,
                        reason.c_str());
        }
    } catch (const std::exception &failure) {
        g_set_error(error, RR_SETTINGS_ERROR, RR_SETTINGS_ERROR_UNREADABLE, "%s: %s", file,
                    failure.what());
    }
    return nullptr;
}

extern "C" void rr_toml_destroy(rr_toml_document *document) {
    delete document;
}

extern "C" int rr_toml_read_string(const rr_toml_document *document, const char *path, char *out,
                                   size_t size) {
    const auto node = document->root.at_path(path);
    if (!node) {
        return -ENOENT;
    }
    const auto *text = node.as_string();
    if (!text || text->get().size() >= size || text->get().find('\0') != std::string::npos) {
        return -EINVAL;
    }
    std::memcpy(out, text->get().c_str(), text->get().size() + 1);
    return 0;
}

extern "C" int rr_toml_read_number(const rr_toml_document *document, const char *path,
                                   double *out) {
    const auto node = document->root.at_path(path);
    if (!node) {
        return -ENOENT;
    }
    if (!node.is_number()) {
        return -EINVAL;
    }
    const auto value = node.value<double>();
    if (!value || !std::isfinite(*value)) {
        return -EINVAL;
    }
    *out = *value;
    return 0;
}

extern "C" int rr_toml_check_table(const rr_toml_document *document, const char *path) {
    const auto node = document->root.at_path(path);
    if (!node) {
        return -ENOENT;
    }
    return node.is_table() ? 0 : -EINVAL;
}

extern "C" int rr_toml_count_tables(const rr_toml_document *document, const char *path) {
    const auto node = document->root.at_path(path);
    if (!node) {
        return 0;
    }
    const auto *array = node.as_array();
    if (!array) {
        return -EINVAL;
    }
    for (const auto &element : *array) {
        if (!element.is_table()) {
            return -EINVAL;
        }
    }
    return static_cast<int>(array->size());
}

extern "C" unsigned rr_toml_find_line(const rr_toml_document *document, const char *path) {
    const auto node = document->root.at_path(path);
    return node ? static_cast<unsigned>(node.node()->source().begin.line) : 0;
}
