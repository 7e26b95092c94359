#include "answerend.h"

namespace camphorshunt::router {

auto answerEndName(AnswerEnd end) -> std::string_view
{
    switch (end) {
    case AnswerEnd::Framed:
        return "framed";
    case AnswerEnd::Connection:
        return "connection";
    case AnswerEnd::Broken:
        return "broken";
    }
    return "unknown";
}

} // namespace camphorshunt::router
